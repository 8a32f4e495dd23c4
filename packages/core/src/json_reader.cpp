#include <jujubecart/core/json_reader.hpp>

#include <algorithm>

namespace jujubecart::core {

namespace internal {

constexpr std::size_t MaxQuotedLength = 60;

// Value as ASCII JSON text, truncated for a finding.
std::string describe(const nlohmann::json &Value) {
  std::string Text =
      Value.dump(-1, ' ', true, nlohmann::json::error_handler_t::replace);
  if (Text.size() > MaxQuotedLength)
    Text = Text.substr(0, MaxQuotedLength) + "...";
  return Text;
}

// Escapes a key for a JSON pointer (RFC 6901).
std::string escapePointer(std::string_view Key) {
  std::string Escaped;
  for (const char Character : Key) {
    if (Character == '~')
      Escaped += "~0";
    else if (Character == '/')
      Escaped += "~1";
    else
      Escaped += Character;
  }
  return Escaped;
}

bool isPrintable(const std::string &Text) {
  return std::all_of(Text.begin(), Text.end(), [](unsigned char Character) {
    return Character >= 0x20 && Character != 0x7f;
  });
}

template <typename Number>
std::string describeRange(std::string_view Type, Number Low, Number High) {
  return std::string(Type) + " from " + nlohmann::json(Low).dump() + " to " +
         nlohmann::json(High).dump();
}

const nlohmann::json &emptyObject() {
  static const nlohmann::json Empty = nlohmann::json::object();
  return Empty;
}

// Parser callback that reports duplicate keys. Without it, the library silently
// keeps the last value.
class DuplicateKeyCheck {
public:
  explicit DuplicateKeyCheck(Findings &Report) : Report(Report) {}

  bool operator()(int, nlohmann::json::parse_event_t Event,
                  nlohmann::json &Parsed) {
    using ParseEvent = nlohmann::json::parse_event_t;
    if (Event == ParseEvent::object_start)
      Keys.emplace_back();
    else if (Event == ParseEvent::object_end)
      Keys.pop_back();
    else if (Event == ParseEvent::key &&
             !Keys.back().insert(Parsed.get<std::string>()).second)
      Report.add("", "duplicate key " + describe(Parsed),
                 "unique keys in an object");
    return true;
  }

private:
  Findings &Report;
  std::vector<std::set<std::string>> Keys;
};

} // namespace internal

JsonReader::JsonReader(const nlohmann::json &Value, std::string Pointer,
                       Findings &Report)
    : Value(Value.is_object() ? Value : internal::emptyObject()),
      BasePointer(std::move(Pointer)), Report(Report) {
  if (!Value.is_object())
    Report.add(BasePointer, internal::describe(Value), "object");
}

std::string JsonReader::pointer(std::string_view Key) const {
  return BasePointer + "/" + internal::escapePointer(Key);
}

const nlohmann::json *JsonReader::find(std::string_view Key, bool Required,
                                       std::string_view Expected) {
  ReadKeys.emplace(Key);
  const auto Found = Value.find(Key);
  if (Found != Value.end())
    return &*Found;
  if (Required)
    Report.add(pointer(Key), "nothing", std::string(Expected));
  return nullptr;
}

std::int64_t JsonReader::integer(std::string_view Key, std::int64_t Low,
                                 std::int64_t High) {
  if (find(Key, true, internal::describeRange("integer", Low, High)) == nullptr)
    return Low;
  return integerOr(Key, Low, High, Low);
}

std::int64_t JsonReader::integerOr(std::string_view Key, std::int64_t Low,
                                   std::int64_t High, std::int64_t Default) {
  const nlohmann::json *Member = find(Key, false, "");
  if (Member == nullptr)
    return Default;
  const bool FitsInt64 = Member->is_number_unsigned()
                             ? Member->get<std::uint64_t>() <= INT64_MAX
                             : Member->is_number_integer();
  if (FitsInt64 && Member->get<std::int64_t>() >= Low &&
      Member->get<std::int64_t>() <= High)
    return Member->get<std::int64_t>();
  Report.add(pointer(Key), internal::describe(*Member),
             internal::describeRange("integer", Low, High));
  return Default;
}

double JsonReader::numberOr(std::string_view Key, double Low, double High,
                            double Default) {
  const nlohmann::json *Member = find(Key, false, "");
  if (Member == nullptr)
    return Default;
  if (Member->is_number() && Member->get<double>() >= Low &&
      Member->get<double>() <= High)
    return Member->get<double>();
  Report.add(pointer(Key), internal::describe(*Member),
             internal::describeRange("number", Low, High));
  return Default;
}

std::string JsonReader::string(std::string_view Key) {
  if (find(Key, true, "non-empty string") == nullptr)
    return {};
  return stringOr(Key, "");
}

std::string JsonReader::stringOr(std::string_view Key,
                                 std::string_view Default) {
  const nlohmann::json *Member = find(Key, false, "");
  if (Member == nullptr)
    return std::string(Default);
  if (Member->is_string()) {
    auto Text = Member->get<std::string>();
    if (!Text.empty() && internal::isPrintable(Text))
      return Text;
  }
  Report.add(pointer(Key), internal::describe(*Member),
             "non-empty string without control characters");
  return std::string(Default);
}

bool JsonReader::booleanOr(std::string_view Key, bool Default) {
  const nlohmann::json *Member = find(Key, false, "");
  if (Member == nullptr)
    return Default;
  if (Member->is_boolean())
    return Member->get<bool>();
  Report.add(pointer(Key), internal::describe(*Member), "true or false");
  return Default;
}

std::size_t JsonReader::choice(std::string_view Key,
                               const std::vector<std::string> &Choices,
                               std::optional<std::size_t> Default) {
  std::string Expected = "one of";
  for (const std::string &Choice : Choices)
    Expected += " \"" + Choice + "\"";
  const nlohmann::json *Member = find(Key, !Default, Expected);
  if (Member == nullptr)
    return Default.value_or(0);
  if (Member->is_string()) {
    const auto Found = std::find(Choices.begin(), Choices.end(),
                                 Member->get_ref<const std::string &>());
    if (Found != Choices.end())
      return static_cast<std::size_t>(Found - Choices.begin());
  }
  Report.add(pointer(Key), internal::describe(*Member), Expected);
  return Default.value_or(0);
}

const nlohmann::json *JsonReader::object(std::string_view Key, bool Required) {
  const nlohmann::json *Member = find(Key, Required, "object");
  if (Member == nullptr || Member->is_object())
    return Member;
  Report.add(pointer(Key), internal::describe(*Member), "object");
  return nullptr;
}

const nlohmann::json *JsonReader::array(std::string_view Key, bool Required) {
  const nlohmann::json *Member = find(Key, Required, "array");
  if (Member == nullptr || Member->is_array())
    return Member;
  Report.add(pointer(Key), internal::describe(*Member), "array");
  return nullptr;
}

std::vector<std::string> JsonReader::strings(std::string_view Key) {
  std::vector<std::string> Items;
  const nlohmann::json *Member = array(Key, false);
  if (Member == nullptr)
    return Items;
  for (std::size_t Index = 0; Index < Member->size(); ++Index) {
    const nlohmann::json &Item = (*Member)[Index];
    if (Item.is_string() && !Item.get_ref<const std::string &>().empty())
      Items.push_back(Item.get<std::string>());
    else
      Report.add(pointer(Key) + "/" + std::to_string(Index),
                 internal::describe(Item), "non-empty string");
  }
  return Items;
}

const nlohmann::json &JsonReader::value(std::string_view Key) {
  static const nlohmann::json Null;
  const nlohmann::json *Found = find(Key, false, "value");
  return Found == nullptr ? Null : *Found;
}

void JsonReader::rejectUnknownKeys() {
  for (const auto &[Key, Member] : Value.items())
    if (ReadKeys.find(Key) == ReadKeys.end())
      Report.add(pointer(Key), "unknown key " + internal::describe(Key),
                 "a documented key");
}

std::optional<nlohmann::json> parseJson(std::string_view Text,
                                        Findings &Report) {
  try {
    return nlohmann::json::parse(Text, internal::DuplicateKeyCheck(Report));
  } catch (const nlohmann::json::exception &Failure) {
    Report.add("", Failure.what(), "JSON text");
    return std::nullopt;
  }
}

} // namespace jujubecart::core
