#include <criterion/criterion.h>
#include <jujubecart/operators/settings_file.hpp>

#include <cstdio>
#include <fstream>
#include <unistd.h>

using namespace jujubecart;

namespace {

struct Fixture {
  const std::string Path =
      "settings_file_test." + std::to_string(getpid()) + ".json";

  explicit Fixture(const char *Text) { write(Text); }
  Fixture(const Fixture &) = delete;
  Fixture &operator=(const Fixture &) = delete;
  ~Fixture() { std::remove(Path.c_str()); }

  void write(const char *Text) const { std::ofstream(Path) << Text; }
};

} // namespace

// Guards against a log line for every check of a file whose content is
// unchanged, also if it was written again.
Test(SettingsFile, unchanged_file_is_reported_as_unchanged) {
  const Fixture TemporaryFile("{}");
  operators::SettingsFile File(TemporaryFile.Path);
  cr_assert_not(File.checkForChange());
  TemporaryFile.write("{}");
  cr_assert_not(File.checkForChange());
}

// Guards against changes that go unnoticed because nobody sends SIGHUP.
Test(SettingsFile, each_change_is_reported_once) {
  const Fixture TemporaryFile("{}");
  operators::SettingsFile File(TemporaryFile.Path);
  TemporaryFile.write("[]");
  cr_assert(File.checkForChange());
  cr_assert_not(File.checkForChange());
  TemporaryFile.write("{}");
  cr_assert(File.checkForChange());
}

// Guards against a file that is removed and written again with the same content
// being reported as changed.
Test(SettingsFile,
     missing_file_is_a_change_only_if_it_returns_with_new_content) {
  const Fixture TemporaryFile("{}");
  operators::SettingsFile File(TemporaryFile.Path);
  std::remove(TemporaryFile.Path.c_str());
  cr_assert_not(File.checkForChange());
  TemporaryFile.write("{}");
  cr_assert_not(File.checkForChange());
  TemporaryFile.write("{ }");
  cr_assert(File.checkForChange());
}
