#include "commands.hpp"

#include <jujubecart/operators/text_file.hpp>

#include <algorithm>
#include <iostream>
#include <iterator>

namespace jujubectl {

namespace internal {

namespace operators = jujubecart::operators;
using nlohmann::json;

/// @brief Digest of the API key in a file or, for `-`, in the standard input.
std::optional<jujubecart::core::ApiKeyDigest>
readKeyDigest(const std::string &File) {
  std::string Key;
  if (File == "-") {
    Key.assign(std::istreambuf_iterator<char>(std::cin), {});
  } else {
    const auto Text = operators::readTextFile(File);
    if (!Text)
      return std::nullopt;
    Key = *Text;
  }
  while (!Key.empty() && (Key.back() == '\n' || Key.back() == '\r'))
    Key.pop_back();
  if (Key.empty())
    return std::nullopt;
  return jujubecart::core::digestOf(Key);
}

/// @brief Prints rows of cells with columns of equal width.
void printAligned(const std::vector<std::vector<std::string>> &Rows) {
  std::vector<std::size_t> Widths;
  for (const auto &Row : Rows)
    for (std::size_t At = 0; At < Row.size(); ++At) {
      Widths.resize(std::max(Widths.size(), At + 1));
      Widths[At] = std::max(Widths[At], Row[At].size());
    }
  for (const auto &Row : Rows) {
    std::string Line;
    for (std::size_t At = 0; At < Row.size(); ++At)
      Line += Row[At] + std::string(Widths[At] - Row[At].size() + 2, ' ');
    Line.erase(Line.find_last_not_of(' ') + 1);
    std::cout << Line << '\n';
  }
}

std::string cell(const json &Value, const char *Key, const char *Unit = "") {
  if (!Value.contains(Key))
    return "-";
  const json &Member = Value[Key];
  return (Member.is_string() ? Member.get<std::string>() : Member.dump()) +
         Unit;
}

std::vector<std::string> serverRow(const json &Server, std::size_t Position) {
  const std::string Verdict = Server.value("verdict", "");
  std::string Facts;
  const auto Add = [&](const std::string &Fact) {
    Facts += (Facts.empty() ? "" : ", ") + Fact;
  };
  if (Server.value("zone_evacuated", false))
    Add("zone evacuated");
  if (Server.value("cold", false))
    Add("cold");
  if (Server.contains("rate_per_s"))
    Add("limited to " + cell(Server, "rate_per_s", "/s"));
  if (Server.contains("trial_in_ms"))
    Add("trial in " + cell(Server, "trial_in_ms", " ms"));
  if (const json Estimate = Server.value("estimate", json::object());
      !Estimate.empty()) {
    Add(cell(Estimate, "in_time_percent", "% in time"));
    Add("score " + cell(Estimate, "score_milli"));
    Add("transfer cost " + cell(Estimate, "transfer_cost_milli"));
    if (Estimate.value("late", false))
      Add("misses the objective");
    if (Estimate.value("saturates", false))
      Add("last slots");
  }
  return {Verdict == "candidate" ? std::to_string(Position) : "-",
          cell(Server, "id"),
          Verdict,
          cell(Server, "state"),
          cell(Server, "in_flight") + "/" + cell(Server, "limit"),
          cell(Server, "zone") +
              (Server.value("other_zone", false) ? " (other)" : ""),
          cell(Server, "observed_age_ms", " ms"),
          cell(Server, "pace_percent", "%"),
          cell(Server, "pace_age_ms", " ms"),
          Facts};
}

void printGroup(const json &Group, const std::string &Vm) {
  std::cout << "\nservers of " << Group.value("group", "") << " as " << Vm
            << " knows them\n";
  std::vector<std::vector<std::string>> Rows{{"#", "SERVER", "VERDICT", "STATE",
                                              "IN FLIGHT", "ZONE", "HEARD",
                                              "PACE", "PACE AGE", "FACTS"}};
  for (const json &Server : Group.value("servers", json::array()))
    Rows.push_back(serverRow(Server, Rows.size()));
  printAligned(Rows);
}

template <typename Action>
void forEachGroup(const json &Explained, const Action &Do) {
  for (const json &Service : Explained.value("services", json::array()))
    for (const json &Group : Service.value("groups", json::array()))
      Do(Group);
}

std::string verdictDetail(const json &Explained) {
  if (Explained.contains("server"))
    return " to " + cell(Explained, "server");
  if (Explained.contains("rejected"))
    return " with " + cell(Explained["rejected"], "status") + " " +
           cell(Explained["rejected"], "text");
  return Explained.value("verdict", "") == "asks"
             ? " " + cell(Explained, "dispatcher")
             : "";
}

void printReasons(const json &Explained) {
  std::vector<std::vector<std::string>> Rows{
      {"verdict", Explained.value("verdict", "") + verdictDetail(Explained)}};
  for (const json &Reason : Explained.value("reasons", json::array()))
    Rows.push_back({Reason.value("subject", ""), Reason.value("text", "")});
  printAligned(Rows);
}

/// @brief Asks the dispatchers of all groups that another VM dispatches, for
/// the request as that VM passes it on.
json askDispatchers(const ConnectionOptions &Target,
                    const operators::ExplainQuery &Query,
                    const json &Explained) {
  json Out = json::array();
  forEachGroup(Explained, [&](const json &Group) {
    const std::string Vm = Group.value("dispatcher", "");
    const std::string Endpoint = Group.value("operators", "");
    if (Vm == Explained.value("vm", "") || Endpoint.empty())
      return;
    operators::ExplainQuery Passed = Query;
    Passed.Key.reset();
    Passed.Workspace = Explained.value("workspace", "");
    Passed.Group = Group.value("group", "");
    Passed.Vm = Explained.value("vm", "");
    Passed.Excluded = Group.value("excluded", std::vector<std::string>());
    const auto Result = Target.client(Endpoint).fetch(
        "/explain?" + operators::toQueryString(Passed));
    json Answer = Result && Result->Status == 200
                      ? json::parse(Result->Body, nullptr, false)
                      : json();
    Out.push_back(
        {{"vm", Vm},
         {"endpoint", Endpoint},
         {"group", Passed.Group},
         {"explanation", Answer.is_object() ? std::move(Answer) : json()}});
  });
  return Out;
}

void printText(const json &Explained, const json &Dispatchers) {
  printReasons(Explained);
  forEachGroup(Explained, [&](const json &Group) {
    const auto Asked = std::find_if(Dispatchers.begin(), Dispatchers.end(),
                                    [&](const json &Each) {
                                      return Each["group"] == Group["group"] &&
                                             !Each["explanation"].is_null();
                                    });
    if (Asked == Dispatchers.end()) {
      printGroup(Group, Explained.value("vm", ""));
      return;
    }
    std::cout << "\ndispatcher " << Asked->value("vm", "") << " ("
              << Asked->value("endpoint", "") << ") says\n";
    printReasons((*Asked)["explanation"]);
    forEachGroup((*Asked)["explanation"], [&](const json &Known) {
      printGroup(Known, Asked->value("vm", ""));
    });
  });
  for (const json &Each : Dispatchers)
    if (Each["explanation"].is_null())
      std::cout << "\ndispatcher " << Each.value("vm", "")
                << " did not answer; ask it with --endpoint "
                << Each.value("endpoint", "") << '\n';
}

} // namespace internal

ExitCode explainRequest(const ConnectionOptions &Target,
                        const ExplainOptions &Options) {
  jujubecart::operators::ExplainQuery Query{.Host = Options.Host,
                                            .Path = Options.Path,
                                            .Method = Options.Method,
                                            .Workspace = Options.Workspace,
                                            .Key = {},
                                            .Group = {},
                                            .Vm = {},
                                            .Excluded = {}};
  if (!Options.KeyFile.empty()) {
    Query.Key = internal::readKeyDigest(Options.KeyFile);
    if (!Query.Key) {
      std::cerr << "jujubectl: no API key in \"" << Options.KeyFile << "\"\n";
      return InvalidInput;
    }
  }
  const auto Result =
      Target.client(Target.Endpoint)
          .fetch("/explain?" + jujubecart::operators::toQueryString(Query));
  const nlohmann::json Body =
      Result ? nlohmann::json::parse(Result->Body, nullptr, false)
             : nlohmann::json();
  if (!Body.is_object()) {
    std::cerr << "jujubectl: " << Target.Endpoint << " cannot be reached\n";
    return Unavailable;
  }
  if (Result->Status != 200) {
    std::cerr << "jujubectl: " << Body.value("error", "unknown error") << '\n';
    return Result->Status == 400 ? InvalidInput : Unavailable;
  }
  const nlohmann::json Dispatchers =
      internal::askDispatchers(Target, Query, Body);
  if (Options.Json)
    std::cout << nlohmann::json{{"explanation", Body},
                                {"dispatchers", Dispatchers}}
                     .dump(2)
              << '\n';
  else
    internal::printText(Body, Dispatchers);
  return Success;
}

} // namespace jujubectl
