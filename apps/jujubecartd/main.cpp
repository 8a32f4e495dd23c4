#include <jujubecart/core.hpp>

int main() {
  jujubecart::core::LogLine(jujubecart::core::LogLevel::Info,
                            "jujubecartd.started")
      .field("pid", 0);
  return 0;
}
