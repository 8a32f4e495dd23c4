#ifndef JUJUBECART_TESTS_COMMON_CERTIFICATES_HPP
#define JUJUBECART_TESTS_COMMON_CERTIFICATES_HPP

#include <criterion/criterion.h>
#include <cstdlib>
#include <string>
#include <unistd.h>

namespace jujubecart::tests {

/// @brief Temporary folder with certificates made by the openssl program:
/// "good" is valid, "foreign" is signed by the CA "other", "expired" has
/// expired.
class Certificates {
public:
  Certificates() {
    char Name[] = "/tmp/jujubecart-tests-XXXXXX";
    Folder = mkdtemp(Name);
    createCa("ca");
    createCa("other");
    createCertificate("good", "ca", 30);
    createCertificate("foreign", "other", 30);
    createCertificate("expired", "ca", -1);
  }
  Certificates(const Certificates &) = delete;
  Certificates &operator=(const Certificates &) = delete;
  ~Certificates() { runCommand("rm -r " + Folder); }

  [[nodiscard]] std::string path(const std::string &File) const {
    return Folder + "/" + File;
  }
  void copy(const std::string &From, const std::string &To) const {
    runCommand("cp " + path(From) + ".pem " + path(To) + ".pem && cp " +
               path(From) + ".key " + path(To) + ".key");
  }

private:
  static void runCommand(const std::string &Command) {
    const int Code = std::system((Command + " >/dev/null 2>&1").c_str());
    cr_assert_eq(Code, 0, "%s", Command.c_str());
  }
  void createCa(const std::string &Name) const {
    runCommand(
        "openssl req -x509 -newkey ec -pkeyopt ec_paramgen_curve:P-256 -nodes"
        " -days 30 -subj /CN=" +
        Name + " -keyout " + path(Name + ".key") + " -out " +
        path(Name + ".pem"));
  }
  void createCertificate(const std::string &Name, const std::string &Ca,
                         int Days) const {
    runCommand("openssl req -newkey ec -pkeyopt ec_paramgen_curve:P-256 -nodes"
               " -subj /CN=" +
               Name + " -keyout " + path(Name + ".key") + " -out " +
               path(Name + ".csr") + " && openssl x509 -req -in " +
               path(Name + ".csr") + " -CA " + path(Ca + ".pem") + " -CAkey " +
               path(Ca + ".key") + " -CAcreateserial -days " +
               std::to_string(Days) + " -out " + path(Name + ".pem"));
  }

  std::string Folder;
};

} // namespace jujubecart::tests

#endif
