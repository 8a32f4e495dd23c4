#include "claim_segment.hpp"

#include <charconv>
#include <nlohmann/json.hpp>

namespace jujubecart::store::internal {

using nlohmann::json;

namespace {

// Encoded record: key (32 hex digits), request id (16 hex digits), '+' for a
// claim or '-' for a release, expiry in Unix seconds (decimal).
constexpr std::size_t HashDigits = 16;
constexpr std::size_t SignOffset = 3 * HashDigits;
// Hex digits, sign, ten digits of the expiry, two quotes and a comma.
constexpr std::size_t EncodedRecordSize = SignOffset + 14;

std::string hex(std::uint64_t Value) {
  return core::toString(core::RequestId{Value});
}

std::string encode(const ClaimRecord &Record) {
  return hex(Record.Key.High) + hex(Record.Key.Low) +
         hex(Record.Request.Value) + (Record.Released ? '-' : '+') +
         std::to_string(Record.ExpiresS);
}

core::Result<ClaimRecord> decode(std::string_view Text) {
  if (Text.size() <= SignOffset + 1 ||
      (Text[SignOffset] != '+' && Text[SignOffset] != '-'))
    return make_error_code(core::Error::Malformed);
  const auto High = core::parseRequestId(Text.substr(0, HashDigits));
  const auto Low = core::parseRequestId(Text.substr(HashDigits, HashDigits));
  const auto Request =
      core::parseRequestId(Text.substr(2 * HashDigits, HashDigits));
  ClaimRecord Record;
  const char *End = Text.data() + Text.size();
  const auto [Last, Code] =
      std::from_chars(Text.data() + SignOffset + 1, End, Record.ExpiresS);
  if (!High || !Low || !Request || Code != std::errc() || Last != End)
    return make_error_code(core::Error::Malformed);
  Record.Key = core::OrderKey{.High = High->Value, .Low = Low->Value};
  Record.Request = *Request;
  Record.Released = Text[SignOffset] == '-';
  return Record;
}

json encodeAll(const std::vector<ClaimRecord> &Records) {
  json Items = json::array();
  for (const ClaimRecord &Record : Records)
    Items.push_back(encode(Record));
  return Items;
}

core::Result<std::vector<ClaimRecord>> decodeAll(const json &Items) {
  std::vector<ClaimRecord> Records;
  Records.reserve(Items.size());
  for (const json &Item : Items) {
    const auto Record = decode(Item.get_ref<const std::string &>());
    if (!Record)
      return Record.error();
    Records.push_back(*Record);
  }
  return Records;
}

} // namespace

std::string writeClaimHead(const ClaimHead &Head) {
  return json{{"sequence", Head.Sequence},
              {"first", Head.FirstSegment},
              {"writer", Head.Writer},
              {"nonce", hex(Head.Nonce)},
              {"claims", encodeAll(Head.Records)}}
      .dump();
}

core::Result<ClaimHead> readClaimHead(std::string_view Text) {
  try {
    const json Value = json::parse(Text);
    ClaimHead Head;
    Head.Sequence = Value.at("sequence").get<std::uint64_t>();
    Head.FirstSegment = Value.at("first").get<std::uint64_t>();
    Head.Writer = Value.at("writer").get<std::string>();
    const auto Nonce =
        core::parseRequestId(Value.at("nonce").get_ref<const std::string &>());
    auto Records = decodeAll(Value.at("claims"));
    if (!Nonce || !Records || Head.FirstSegment > Head.Sequence)
      return make_error_code(core::Error::Malformed);
    Head.Nonce = Nonce->Value;
    Head.Records = std::move(*Records);
    return Head;
  } catch (const json::exception &) {
    return make_error_code(core::Error::Malformed);
  }
}

std::string writeSegment(const std::vector<ClaimRecord> &Records) {
  return json{{"claims", encodeAll(Records)}}.dump();
}

core::Result<std::vector<ClaimRecord>> readSegment(std::string_view Text) {
  try {
    return decodeAll(json::parse(Text).at("claims"));
  } catch (const json::exception &) {
    return make_error_code(core::Error::Malformed);
  }
}

std::size_t encodedSize(const std::vector<ClaimRecord> &Records) noexcept {
  return Records.size() * EncodedRecordSize;
}

} // namespace jujubecart::store::internal
