#ifndef JUJUBECART_CORE_WORKSPACE_TABLE_HPP
#define JUJUBECART_CORE_WORKSPACE_TABLE_HPP

#include <jujubecart/core/workspace.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace jujubecart::core {

/// @brief SHA-256 digest of an API key. Only digests are kept, so that the keys
/// themselves cannot appear in logs or memory dumps.
struct ApiKeyDigest {
  std::array<std::uint8_t, 32> Bytes{};

  /// @brief First bytes in hexadecimal, for logs and operators.
  [[nodiscard]] std::string shortText() const;

  friend auto operator<=>(const ApiKeyDigest &, const ApiKeyDigest &) = default;
};

/// @brief Computes the digest of an API key.
[[nodiscard]] ApiKeyDigest digestOf(std::string_view Key);

/// @brief Immutable workspaces of one configuration version, by API key.
class WorkspaceTable {
public:
  /// @brief A workspace with the digests of its API keys.
  struct Entry {
    Workspace Item;
    std::vector<ApiKeyDigest> Keys;

    friend auto operator<=>(const Entry &, const Entry &) = default;
  };

  /// @brief The table of a configuration that does not mention workspaces.
  WorkspaceTable() = default;

  /// @param Entries No two of them may share a key or a name. Without entries
  /// every key is unknown.
  explicit WorkspaceTable(std::vector<Entry> Entries);

  /// @brief Whether requests need an API key, because the configuration has a
  /// table of workspaces, be it an empty one.
  [[nodiscard]] bool keysRequired() const noexcept { return Configured; }

  [[nodiscard]] const std::vector<Entry> &entries() const noexcept {
    return Entries;
  }

  /// @brief Finds the workspace that holds a key. The time it takes does not
  /// show how much of a wrong key is right.
  /// @return The workspace, or nullptr if no workspace holds the key.
  [[nodiscard]] const Workspace *find(std::string_view Key) const;

  /// @brief Finds the workspace that holds the key with a digest.
  [[nodiscard]] const Workspace *find(const ApiKeyDigest &Digest) const;

  /// @brief Finds a workspace by Workspace::hash().
  [[nodiscard]] const Workspace *findByHash(std::uint64_t Hash) const noexcept;

  friend bool operator==(const WorkspaceTable &Left,
                         const WorkspaceTable &Right) {
    return Left.Configured == Right.Configured && Left.Entries == Right.Entries;
  }

private:
  struct DigestHash {
    [[nodiscard]] std::size_t
    operator()(const ApiKeyDigest &Digest) const noexcept;
  };

  bool Configured = false;
  std::vector<Entry> Entries;
  /// Indices into Entries.
  std::unordered_map<ApiKeyDigest, std::size_t, DigestHash> ByKey;
  std::unordered_map<std::uint64_t, std::size_t> ByHash;
};

} // namespace jujubecart::core

#endif
