#!/usr/bin/env python3
"""Tests the scenario language: every file of the project is read, and bad lines are refused by file, line and reason."""

import pathlib
import subprocess
import sys
import tempfile
import unittest

FOLDER = pathlib.Path(__file__).resolve().parent


def check(*files):
    return subprocess.run([sys.executable, str(FOLDER / "run"), "--check", *map(str, files)], capture_output=True, text=True, timeout=60, check=False)


class LanguageTest(unittest.TestCase):
    def test_all_files_are_read(self):
        files = sorted(FOLDER.glob("*.scenario"))
        self.assertGreater(len(files), 5)
        self.assertEqual(check(*files).returncode, 0)

    def test_bad_lines_are_refused_by_file_line_and_reason(self):
        bad = {
            "load many/s for 3s": "no event or expectation",
            "kill dispatch i99": "'i99' is not one of i11",
            "site nowhere": "'nowhere' is not one of cornet, refillwise",
            "target nobody restarts": "'nobody' is not in site refillwise",
            "link cut dc1 dc9": "'dc9' is neither",
            "data centre dc7 out": "'dc7' is not one of dc1, dc2, dc3",
            "expect wrong answers is none": "no event or expectation",
        }
        for line, reason in bad.items():
            with self.subTest(line), tempfile.TemporaryDirectory() as folder:
                path = pathlib.Path(folder) / "bad.scenario"
                path.write_text(f"# first line\nsite refillwise\n{line}\n")
                refused = check(path)
                self.assertEqual(refused.returncode, 2)
                self.assertIn("bad.scenario:3: ", refused.stderr)
                self.assertIn(reason, refused.stderr)


if __name__ == "__main__":
    unittest.main()
