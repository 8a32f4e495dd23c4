find_package(Threads REQUIRED)
find_package(OpenSSL REQUIRED)
find_package(nlohmann_json REQUIRED)
find_package(ZLIB REQUIRED)

find_program(Ccache ccache)
if(Ccache)
  set(CMAKE_CXX_COMPILER_LAUNCHER ${Ccache})
endif()

option(JUJUBECART_WERROR "Treat warnings as errors" ON)
add_compile_options(-Wall -Wextra -Wno-missing-field-initializers)
if(JUJUBECART_WERROR)
  add_compile_options(-Werror)
endif()
# GCC 12 gives these warnings falsely for optimized coroutine frames.
add_compile_options(-Wno-maybe-uninitialized -Wno-dangling-pointer
  -Wno-mismatched-new-delete)
add_compile_definitions(BOOST_ASIO_NO_DEPRECATED)

if(JUJUBECART_SANITIZE)
  add_compile_options(-fsanitize=${JUJUBECART_SANITIZE} -fno-omit-frame-pointer)
  add_link_options(-fsanitize=${JUJUBECART_SANITIZE})
  if(JUJUBECART_SANITIZE MATCHES thread)
    # ThreadSanitizer does not support std::atomic_thread_fence, which Asio
    # uses by default; -Wtsan would warn of every use.
    add_compile_definitions(BOOST_ASIO_DISABLE_FENCED_BLOCK)
    add_compile_options(-Wno-tsan)
  endif()
endif()
