#!/usr/bin/env python3
"""Tests the parser of the scenario language: all scenario files parse, and invalid lines are reported with file, line and reason."""

import pathlib
import subprocess
import sys
import tempfile
import unittest

FOLDER = pathlib.Path(__file__).resolve().parent


def check(*files):
    return subprocess.run([sys.executable, str(FOLDER / "run"), "--check", *map(str, files)], capture_output=True, text=True, timeout=60, check=False)


class LanguageTest(unittest.TestCase):
    def test_all_scenario_files_parse(self):
        files = sorted(FOLDER.glob("*.scenario"))
        self.assertGreater(len(files), 5)
        self.assertEqual(check(*files).returncode, 0)

    def test_invalid_lines_are_reported_with_file_line_and_reason(self):
        invalid_lines = {
            "load many/s for 3s": "is not a known event or expectation",
            "kill dispatch i99": "'i99' is not one of i11",
            "site nowhere": "'nowhere' is not one of cornet, refillwise",
            "target nobody restarts": "'nobody' is not in site refillwise",
            "link cut dc1 dc9": "'dc9' is neither",
            "data centre dc7 out": "'dc7' is not one of dc1, dc2, dc3",
            "expect wrong answers is none": "is not a known event or expectation",
        }
        for line, reason in invalid_lines.items():
            with self.subTest(line), tempfile.TemporaryDirectory() as folder:
                path = pathlib.Path(folder) / "bad.scenario"
                path.write_text(f"# first line\nsite refillwise\n{line}\n")
                checked = check(path)
                self.assertEqual(checked.returncode, 2)
                self.assertIn("bad.scenario:3: ", checked.stderr)
                self.assertIn(reason, checked.stderr)


if __name__ == "__main__":
    unittest.main()
