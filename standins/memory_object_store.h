#pragma once

#include "base/base.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace balsamhook
{

/// Limits of a memory_object_store.
struct memory_object_store_limits
{
    std::size_t objects = 100000;
    std::size_t kinds = 64;
    std::size_t bytes = std::size_t(512) * 1024 * 1024; ///< Sum of all values.
};

/// In-memory objects of the stand-in platform. Versions come from one counter for all objects, so that they keep increasing when an object is removed
/// and created again, and clients can't rely on increments of one. Not thread-safe.
class memory_object_store
{
public:
    struct entry
    {
        std::uint64_t version = 0;
        std::string value;
    };

    explicit memory_object_store(memory_object_store_limits limits = {});

    /// Returns the object, or nullptr when it doesn't exist. The pointer is valid until the next change.
    const entry *find(std::string_view kind, std::string_view name) const;

    /// Writes a value when the object has the expected version (0: it doesn't exist) and returns the new version. Conflict when the version differs,
    /// Overloaded when a limit would be exceeded.
    result<std::uint64_t> put(const std::string &kind, const std::string &name, std::uint64_t expected, std::string value);

    /// Removes an object when it has the expected version. Conflict when the version differs or the object doesn't exist.
    result<void> remove(const std::string &kind, const std::string &name, std::uint64_t expected);

    /// Returns the names and versions of the objects of one kind, sorted by name.
    std::vector<std::pair<std::string, std::uint64_t>> list(std::string_view kind) const;

private:
    using named_entries = std::map<std::string, entry, std::less<>>;

    result<void> checkLimits(const std::string &kind, std::size_t oldBytes, std::size_t newBytes, bool isNew) const;

    memory_object_store_limits m_limits;
    std::map<std::string, named_entries, std::less<>> m_kinds;
    std::size_t m_objects = 0;
    std::size_t m_bytes = 0;
    std::uint64_t m_lastVersion = 0;
};

} // namespace balsamhook
