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

// Guards against a log line for each look at an unchanged file.
Test(SettingsFile, unchanged_file_is_reported_as_unchanged) {
  const Fixture With("{}");
  operators::SettingsFile File(With.Path);
  cr_assert_not(File.changed());
  With.write("{}");
  cr_assert_not(File.changed());
}

// Guards against changes that go unnoticed because no signal is sent.
Test(SettingsFile, each_change_is_reported_once) {
  const Fixture With("{}");
  operators::SettingsFile File(With.Path);
  With.write("[]");
  cr_assert(File.changed());
  cr_assert_not(File.changed());
  With.write("{}");
  cr_assert(File.changed());
}

// Guards against a replacement in two steps that is taken for a change.
Test(SettingsFile, missing_file_is_reported_once_it_is_back_and_differs) {
  const Fixture With("{}");
  operators::SettingsFile File(With.Path);
  std::remove(With.Path.c_str());
  cr_assert_not(File.changed());
  With.write("{}");
  cr_assert_not(File.changed());
  With.write("{ }");
  cr_assert(File.changed());
}
