#ifndef JUJUBECART_TESTS_STORE_DIRECTORY_FIXTURE_HPP
#define JUJUBECART_TESTS_STORE_DIRECTORY_FIXTURE_HPP

#include "plain_codec.hpp"

#include <chrono>
#include <jujubecart/store/directory.hpp>
#include <string>
#include <utility>
#include <vector>

namespace jujubecart::tests {

using namespace std::chrono_literals;

inline constexpr core::TimePoint Start{1h};

/// @brief A directory that has listed two servers and a VM.
struct DirectoryFixture {
  PlainCodec Codec;
  store::Directory Known{Codec, {{"z1", "r1"}}};
  core::ConfigSnapshot Empty;

  DirectoryFixture() {
    Known.replace(
        {.Entries = {entry("config", "5", 1), entry("s/a", "active", 2),
                     entry("s/b", "active", 3), entry("v/vm1", "x", 4)},
         .AsOf = 4},
        Start);
  }

  static core::StoredEntry entry(const std::string &Key,
                                 const std::string &Value,
                                 core::Revision Changed) {
    return {.Key = Key, .Value = Value, .Changed = Changed};
  }
  static core::StoredEntry deletion(const std::string &Key,
                                    core::Revision Changed) {
    return {.Key = Key, .Value = std::nullopt, .Changed = Changed};
  }
  void change(core::StoredEntry Entry, core::TimePoint Now = Start) {
    const core::Revision AsOf = Entry.Changed;
    Known.apply({.Entries = {std::move(Entry)}, .AsOf = AsOf}, Now);
  }
  std::vector<core::BackendServer> servers() {
    const auto Snapshot = Known.buildSnapshot(Empty);
    return Snapshot->find("tags")->Servers;
  }
};

} // namespace jujubecart::tests

#endif
