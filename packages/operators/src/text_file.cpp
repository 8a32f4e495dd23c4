#include <jujubecart/operators/text_file.hpp>

#include <fstream>
#include <sstream>

namespace jujubecart::operators {

std::optional<std::string> readTextFile(const std::string &Path) {
  std::ifstream In(Path, std::ios::binary);
  std::ostringstream Text;
  if (!In || !(Text << In.rdbuf()))
    return std::nullopt;
  return std::move(Text).str();
}

} // namespace jujubecart::operators
