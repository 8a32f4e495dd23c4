#include <jujubecart/core.hpp>

int main() {
  jujubecart::core::LogLine(jujubecart::core::LogLevel::Info,
                            "jujubectl.started")
      .field("pid", 0);
  return 0;
}
