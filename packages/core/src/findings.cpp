#include <jujubecart/core/findings.hpp>

namespace jujubecart::core {

void Findings::add(std::string Pointer, std::string Found,
                   std::string Expected) {
  Items.push_back(Finding{.File = File,
                          .Pointer = std::move(Pointer),
                          .Found = std::move(Found),
                          .Expected = std::move(Expected)});
}

std::string Findings::text() const {
  std::string Text;
  for (const Finding &Item : Items)
    Text += Item.File + ": " + (Item.Pointer.empty() ? "/" : Item.Pointer) +
            ": found " + Item.Found + ", expected " + Item.Expected + "\n";
  return Text;
}

} // namespace jujubecart::core
