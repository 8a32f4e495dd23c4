#include "directory_fixture.hpp"

#include <criterion/criterion.h>
#include <cstdio>
#include <jujubecart/core/log.hpp>
#include <unistd.h>

using namespace jujubecart;
using namespace std::chrono_literals;
using Fixture = tests::DirectoryFixture;
using tests::Start;

// Guards against a cold server that is taken for warm, and against one that
// never gets warm.
Test(Directory, server_is_cold_for_the_time_that_its_entry_states) {
  Fixture Test;
  Test.change(Fixture::entry("s/a", "active 1 3000", 10), Start + 1s);
  cr_assert(Test.servers()[0].ColdUntil == Start + 4s);
  cr_assert(Test.servers()[1].ColdUntil == core::TimePoint::min());
  Test.change(Fixture::entry("s/a", "active 5 0", 11), Start + 5s);
  cr_assert(Test.servers()[0].ColdUntil == core::TimePoint::min());
}

// Guards against a service that changes with each report of a cold server, and
// against an end that moves although the server counts down.
Test(Directory, reports_that_count_down_keep_the_end) {
  Fixture Test;
  Test.change(Fixture::entry("s/a", "active 1 3000", 10), Start);
  Test.change(Fixture::entry("s/a", "active 2 2000", 11), Start + 1050ms);
  cr_assert(Test.servers()[0].ColdUntil == Start + 3s);
  Test.change(Fixture::entry("s/a", "active 3 3000", 12), Start + 2s);
  cr_assert(Test.servers()[0].ColdUntil == Start + 5s);
}

// Guards against a cold time that starts anew with a report that says nothing
// new.
Test(Directory, report_with_another_sequence_is_no_change) {
  Fixture Test;
  Test.change(Fixture::entry("s/a", "active 1 3000", 10), Start);
  const auto First = Test.Known.buildSnapshot(Test.Empty);
  Test.change(Fixture::entry("s/a", "active 2 3000", 11), Start + 2s);
  const auto Second = Test.Known.buildSnapshot(*First);
  cr_assert(First->entries().at("tags") == Second->entries().at("tags"));
}

// Guards against a service without a limit for cold servers that changes when
// its servers report that they are cold.
Test(Directory, cold_time_does_not_count_without_a_limit) {
  Fixture Test;
  Test.Codec.ColdLimit = {};
  Test.change(Fixture::entry("config", "6", 9));
  const auto First = Test.Known.buildSnapshot(Test.Empty);
  Test.change(Fixture::entry("s/a", "active 1 3000", 10));
  const auto Second = Test.Known.buildSnapshot(*First);
  cr_assert(First->entries().at("tags") == Second->entries().at("tags"));
}

// Guards against a server that gets its full load while it is cold, because its
// second cold start is as long as the first one and the reports in between were
// not read.
Test(Directory, second_cold_start_of_the_same_length_counts) {
  Fixture Test;
  Test.change(Fixture::entry("s/a", "active 1 4000", 10), Start);
  // The same report again, as a list after the end of the cold time has it.
  Test.change(Fixture::entry("s/a", "active 1 4000", 11), Start + 50s);
  cr_assert(Test.servers()[0].ColdUntil == Start + 4s);
  Test.change(Fixture::entry("s/a", "active 9 4000", 12), Start + 60s);
  cr_assert(Test.servers()[0].ColdUntil == Start + 64s);
}

// Guards against a server that becomes cold without a restart and of which the
// log says nothing, and against a line for each report that counts down.
Test(Directory, cold_start_without_a_restart_is_logged_once) {
  Fixture Test;
  std::FILE *Log = std::tmpfile();
  cr_assert_not_null(Log);
  cr_assert_geq(::dup2(::fileno(Log), STDOUT_FILENO), 0);
  core::configureLog("vm1", core::LogLevel::Info);
  auto Report = [&, Revision = core::Revision{10}](
                    const char *Value, core::TimePoint Now) mutable {
    Test.change(Fixture::entry("s/a", Value, Revision++), Now);
  };
  Report("active 1 0", Start);
  Report("active 2 4000", Start + 1s);
  Report("active 3 3000", Start + 2s);
  Report("active 4 0", Start + 5s);
  Report("active 5 4000", Start + 60s);
  Report("active 9 4000", Start + 90s);
  std::rewind(Log);
  std::string Text(4096, '\0');
  Text.resize(std::fread(Text.data(), 1, Text.size(), Log));
  std::size_t Lines = 0;
  for (std::size_t At = Text.find("cold_ms=4000"); At != std::string::npos;
       At = Text.find("cold_ms=4000", At + 1))
    ++Lines;
  cr_assert_eq(Lines, 3, "%s", Text.c_str());
  cr_assert_eq(Text.find("cold_ms=3000"), std::string::npos);
}
