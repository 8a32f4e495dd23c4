#include <jujubecart/store/directory_snapshot.hpp>

#include <criterion/criterion.h>
#include <zlib.h>

using namespace jujubecart;

// Guards against a snapshot that loses bytes, and against one that takes all
// memory when it is decompressed.
Test(DirectorySnapshot, list_is_decoded_unchanged_and_damaged_ones_are_not) {
  core::EntryList List{.AsOf = 17};
  for (int Index = 0; Index < 600; ++Index)
    List.Entries.push_back({.Key = "s/" + std::to_string(Index),
                            .Value = std::string(400, '\xff') + '\0',
                            .Changed = core::Revision(Index)});
  const std::string Encoded = store::encodeSnapshot(List);
  cr_assert_lt(Encoded.size(), 24000);
  cr_assert(store::decodeSnapshot(Encoded) == List);
  cr_assert_not(store::decodeSnapshot(""));
  cr_assert_not(store::decodeSnapshot(Encoded.substr(0, 1000)));
  List.Entries = {{.Key = "k", .Value = std::string(20 << 20, 'x')}};
  cr_assert_not(store::decodeSnapshot(store::encodeSnapshot(List)));
}

// Guards against a process that ends because another writer left a snapshot
// that is nested very deeply.
Test(DirectorySnapshot, deeply_nested_snapshot_is_not_decoded) {
  constexpr char ArrayOfOne = '\x81';
  const std::string Nested(4 << 20, ArrayOfOne);
  uLongf Size = compressBound(Nested.size());
  std::string Value(Size, '\0');
  cr_assert_eq(compress(reinterpret_cast<Bytef *>(Value.data()), &Size,
                        reinterpret_cast<const Bytef *>(Nested.data()),
                        Nested.size()),
               Z_OK);
  Value.resize(Size);
  cr_assert_not(store::decodeSnapshot(Value));
}
