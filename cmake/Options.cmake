find_package(Threads REQUIRED)
find_package(OpenSSL REQUIRED)
find_package(nlohmann_json REQUIRED)

find_program(Ccache ccache)
if(Ccache)
  set(CMAKE_CXX_COMPILER_LAUNCHER ${Ccache})
endif()

add_compile_options(-Wall -Wextra -Werror -Wno-missing-field-initializers)
# GCC 12 reports false positives of these two in optimized coroutine frames.
add_compile_options(-Wno-maybe-uninitialized -Wno-dangling-pointer)
add_compile_definitions(BOOST_ASIO_NO_DEPRECATED)

if(JUJUBECART_SANITIZE)
  add_compile_options(-fsanitize=${JUJUBECART_SANITIZE} -fno-omit-frame-pointer)
  add_link_options(-fsanitize=${JUJUBECART_SANITIZE})
  if(JUJUBECART_SANITIZE MATCHES thread)
    # ThreadSanitizer does not model stand-alone fences, which Asio uses by default.
    add_compile_definitions(BOOST_ASIO_DISABLE_FENCED_BLOCK)
    add_compile_options(-Wno-tsan)
  endif()
endif()
