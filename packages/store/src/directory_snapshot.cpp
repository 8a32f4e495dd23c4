#include <jujubecart/store/directory_snapshot.hpp>

#include <array>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <zlib.h>

namespace jujubecart::store {

namespace internal {

namespace {

using nlohmann::json;

// Bounds the memory that a damaged value can take.
constexpr std::size_t MaxSnapshotBytes = std::size_t{16} << 20;
constexpr std::size_t EntryFields = 3;
// The pair, the list of entries and an entry.
constexpr std::size_t MaxDepth = 3;

std::string compress(const std::vector<std::uint8_t> &Bytes) {
  uLongf Size = compressBound(Bytes.size());
  std::string Out(Size, '\0');
  // The fastest level: the entries resemble each other, so it reaches nearly
  // the ratio of the others.
  const int Result = compress2(reinterpret_cast<Bytef *>(Out.data()), &Size,
                               Bytes.data(), Bytes.size(), Z_BEST_SPEED);
  Out.resize(Result == Z_OK ? Size : 0);
  return Out;
}

std::optional<std::vector<std::uint8_t>> decompress(std::string_view Value) {
  z_stream Stream{};
  if (inflateInit(&Stream) != Z_OK)
    return std::nullopt;
  Stream.next_in = reinterpret_cast<Bytef *>(const_cast<char *>(Value.data()));
  Stream.avail_in = static_cast<uInt>(Value.size());
  std::vector<std::uint8_t> Out;
  std::array<std::uint8_t, 16384> Buffer{};
  int Result = Z_OK;
  while (Result == Z_OK && Out.size() <= MaxSnapshotBytes) {
    Stream.next_out = Buffer.data();
    Stream.avail_out = static_cast<uInt>(Buffer.size());
    Result = inflate(&Stream, Z_NO_FLUSH);
    Out.insert(Out.end(), Buffer.data(),
               Buffer.data() + (Buffer.size() - Stream.avail_out));
  }
  inflateEnd(&Stream);
  return Result == Z_STREAM_END ? std::optional(std::move(Out)) : std::nullopt;
}

// Stops at a value that is nested more deeply than a snapshot. The library
// parses CBOR recursively, so such a value would overflow the stack.
class DepthCheck final : public json::json_sax_t {
public:
  bool null() override { return true; }
  bool boolean(bool) override { return true; }
  bool number_integer(number_integer_t) override { return true; }
  bool number_unsigned(number_unsigned_t) override { return true; }
  bool number_float(number_float_t, const string_t &) override { return true; }
  bool string(string_t &) override { return true; }
  bool binary(binary_t &) override { return true; }
  bool start_object(std::size_t) override { return false; }
  bool key(string_t &) override { return false; }
  bool end_object() override { return false; }
  bool start_array(std::size_t) override { return ++Depth <= MaxDepth; }
  bool end_array() override {
    --Depth;
    return true;
  }
  bool parse_error(std::size_t, const std::string &,
                   const json::exception &) override {
    return false;
  }

private:
  std::size_t Depth = 0;
};

bool isFlat(const std::vector<std::uint8_t> &Bytes) {
  DepthCheck Check;
  return json::sax_parse(Bytes, &Check, json::input_format_t::cbor);
}

std::optional<core::StoredEntry> readEntry(const json &Item) {
  if (!Item.is_array() || Item.size() != EntryFields || !Item[0].is_string() ||
      !Item[1].is_binary() || !Item[2].is_number_unsigned())
    return std::nullopt;
  const auto &Value = Item[1].get_binary();
  return core::StoredEntry{.Key = Item[0].get<std::string>(),
                           .Value = std::string(Value.begin(), Value.end()),
                           .Changed = Item[2].get<core::Revision>()};
}

} // namespace

} // namespace internal

std::string encodeSnapshot(const core::EntryList &List) {
  internal::json Entries = internal::json::array();
  for (const core::StoredEntry &Entry : List.Entries)
    if (Entry.Value)
      Entries.push_back(internal::json::array(
          {Entry.Key,
           internal::json::binary({Entry.Value->begin(), Entry.Value->end()}),
           Entry.Changed}));
  return internal::compress(internal::json::to_cbor(
      internal::json::array({List.AsOf, std::move(Entries)})));
}

std::optional<core::EntryList> decodeSnapshot(std::string_view Value) {
  const auto Bytes = internal::decompress(Value);
  if (!Bytes || !internal::isFlat(*Bytes))
    return std::nullopt;
  const internal::json Parsed = internal::json::from_cbor(*Bytes, true, false);
  if (!Parsed.is_array() || Parsed.size() != 2 ||
      !Parsed[0].is_number_unsigned() || !Parsed[1].is_array())
    return std::nullopt;
  core::EntryList Out{.AsOf = Parsed[0].get<core::Revision>()};
  Out.Entries.reserve(Parsed[1].size());
  for (const internal::json &Item : Parsed[1]) {
    auto Entry = internal::readEntry(Item);
    if (!Entry)
      return std::nullopt;
    Out.Entries.push_back(std::move(*Entry));
  }
  return Out;
}

} // namespace jujubecart::store
