#ifndef JUJUBECART_OPERATORS_EXPLAIN_QUERY_HPP
#define JUJUBECART_OPERATORS_EXPLAIN_QUERY_HPP

#include <jujubecart/core/workspace_table.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jujubecart::operators {

/// @brief Parameters of `GET /explain`: the request to explain, and what
/// another VM passes on about a request that it received.
struct ExplainQuery {
  /// Lower case, without port.
  std::string Host;
  std::string Path;
  std::string Method = "GET";
  /// Name of the caller's workspace; empty if Key is used or no key is sent.
  std::string Workspace;
  /// Digest of the API key that the request carries.
  std::optional<core::ApiKeyDigest> Key;
  /// Explains only this dispatch group; empty for all that may be chosen.
  std::string Group;
  /// Id of the VM that received the request; empty for the VM that is asked.
  std::string Vm;
  /// Ids of backend servers to which that VM sends nothing now.
  std::vector<std::string> Excluded;

  friend auto operator<=>(const ExplainQuery &, const ExplainQuery &) = default;
};

/// @brief A parsed query, or why it is invalid.
struct ParsedExplainQuery {
  ExplainQuery Query;
  /// Names the parameter; empty if the query is valid.
  std::string Problem;
};

/// @brief Parses the parameters `host`, `path`, `method`, `workspace`,
/// `key_digest`, `group`, `vm` and, more than once, `excluded`.
/// @param Text Percent-encoded query string without the question mark.
[[nodiscard]] ParsedExplainQuery parseExplainQuery(std::string_view Text);

/// @brief Query string of which parseExplainQuery() makes the same query.
[[nodiscard]] std::string toQueryString(const ExplainQuery &Query);

} // namespace jujubecart::operators

#endif
