#include "query_string.hpp"

#include <jujubecart/operators/explain_query.hpp>

#include <algorithm>
#include <set>

namespace jujubecart::operators {

namespace {

bool isAlphanumeric(char Letter) {
  return (Letter >= '0' && Letter <= '9') || (Letter >= 'a' && Letter <= 'z') ||
         (Letter >= 'A' && Letter <= 'Z');
}

std::optional<core::ApiKeyDigest> parseDigest(std::string_view Text) {
  core::ApiKeyDigest Out;
  if (Text.size() != 2 * Out.Bytes.size())
    return std::nullopt;
  for (std::size_t At = 0; At < Out.Bytes.size(); ++At) {
    const auto Byte = internal::hexByte(Text.substr(2 * At, 2));
    if (!Byte)
      return std::nullopt;
    Out.Bytes[At] = *Byte;
  }
  return Out;
}

std::string hexText(const core::ApiKeyDigest &Digest) {
  std::string Out;
  for (const std::uint8_t Byte : Digest.Bytes)
    internal::appendHex(Byte, Out);
  return Out;
}

// The port of a request's host does not count for its route.
std::optional<std::string> hostName(std::string Text) {
  const std::size_t Bracket = Text.rfind(']');
  const std::size_t Colon = Text.rfind(':');
  if (Colon != std::string::npos &&
      (Bracket == std::string::npos || Colon > Bracket))
    Text.resize(Colon);
  const auto Valid = [](char Letter) {
    return isAlphanumeric(Letter) ||
           std::string_view("-._~:[]").find(Letter) != std::string_view::npos;
  };
  if (Text.empty() || !std::all_of(Text.begin(), Text.end(), Valid))
    return std::nullopt;
  std::transform(Text.begin(), Text.end(), Text.begin(), [](char Letter) {
    return Letter >= 'A' && Letter <= 'Z'
               ? static_cast<char>(Letter - 'A' + 'a')
               : Letter;
  });
  return Text;
}

/// @return What is wrong with the value; empty if nothing is.
std::string assign(std::string_view Name, std::string Value,
                   ExplainQuery &Out) {
  if (Name == "host") {
    const auto Host = hostName(std::move(Value));
    Out.Host = Host.value_or("");
    return Host ? "" : "must be a host name";
  }
  if (Name == "path") {
    Out.Path = std::move(Value);
    return Out.Path.starts_with('/') ? "" : "must begin with /";
  }
  if (Name == "method") {
    Out.Method = std::move(Value);
    return !Out.Method.empty() &&
                   std::all_of(Out.Method.begin(), Out.Method.end(),
                               [](char Letter) {
                                 return Letter >= 'A' && Letter <= 'Z';
                               })
               ? ""
               : "must be an HTTP method in upper case";
  }
  if (Name == "key_digest") {
    Out.Key = parseDigest(Value);
    return Out.Key ? "" : "must be 64 hexadecimal digits";
  }
  if (Value.empty())
    return "must not be empty";
  if (Name == "workspace")
    Out.Workspace = std::move(Value);
  else if (Name == "group")
    Out.Group = std::move(Value);
  else if (Name == "vm")
    Out.Vm = std::move(Value);
  else if (Name == "excluded")
    Out.Excluded.push_back(std::move(Value));
  else
    return "is not known";
  return "";
}

ParsedExplainQuery invalid(std::string_view Name, std::string_view Problem) {
  return {.Query = {},
          .Problem = "parameter \"" + std::string(Name) + "\" " +
                     std::string(Problem)};
}

} // namespace

ParsedExplainQuery parseExplainQuery(std::string_view Text) {
  ParsedExplainQuery Out;
  std::set<std::string, std::less<>> Seen;
  for (const auto &[Name, Value] : internal::parseQuery(Text)) {
    if (!Value)
      return invalid(Name, "is not percent-encoded text");
    if (!Seen.insert(Name).second && Name != "excluded")
      return invalid(Name, "is given twice");
    if (const std::string Problem = assign(Name, *Value, Out.Query);
        !Problem.empty())
      return invalid(Name, Problem);
  }
  for (const char *Name : {"host", "path"})
    if (!Seen.contains(Name))
      return invalid(Name, "is missing");
  if (Out.Query.Key && !Out.Query.Workspace.empty())
    return invalid("workspace", "is not allowed beside \"key_digest\"");
  return Out;
}

std::string toQueryString(const ExplainQuery &Query) {
  std::string Out;
  const auto Add = [&](std::string_view Name, std::string_view Value) {
    if (Value.empty())
      return;
    Out.append(Out.empty() ? "" : "&").append(Name).append("=");
    internal::appendEncoded(Value, Out);
  };
  Add("host", Query.Host);
  Add("path", Query.Path);
  Add("method", Query.Method);
  Add("workspace", Query.Workspace);
  if (Query.Key)
    Add("key_digest", hexText(*Query.Key));
  Add("group", Query.Group);
  Add("vm", Query.Vm);
  for (const std::string &Server : Query.Excluded)
    Add("excluded", Server);
  return Out;
}

} // namespace jujubecart::operators
