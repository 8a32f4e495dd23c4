# Adds the library target jujubecart_<Name> from packages/<Name>.
# Usage: jujubecart_package(<Name> SOURCES <files> [LIBS <targets>])
function(jujubecart_package Name)
  cmake_parse_arguments(Arg "" "" "SOURCES;LIBS" ${ARGN})
  add_library(jujubecart_${Name} STATIC ${Arg_SOURCES})
  add_library(jujubecart::${Name} ALIAS jujubecart_${Name})
  set_target_properties(jujubecart_${Name} PROPERTIES EXPORT_NAME ${Name})
  target_include_directories(jujubecart_${Name} PUBLIC
    $<BUILD_INTERFACE:${CMAKE_CURRENT_SOURCE_DIR}/include>
    $<INSTALL_INTERFACE:include>)
  target_link_libraries(jujubecart_${Name} PUBLIC Threads::Threads ${Arg_LIBS})
  set_property(GLOBAL APPEND PROPERTY JUJUBECART_PACKAGES ${Name})
endfunction()

# Adds a Criterion test program tests/<Name> and registers it with CTest.
# SECONDS bounds each test case; the default is 60.
# Usage: jujubecart_test(<Name> SOURCES <files> LIBS <targets> [SECONDS <n>])
function(jujubecart_test Name)
  cmake_parse_arguments(Arg "" "SECONDS" "SOURCES;LIBS" ${ARGN})
  if(NOT Arg_SECONDS)
    set(Arg_SECONDS 60)
  endif()
  add_executable(${Name}_test ${Arg_SOURCES})
  target_link_libraries(${Name}_test PRIVATE ${Arg_LIBS} criterion)
  add_test(NAME ${Name} COMMAND ${Name}_test --jobs 4 --timeout ${Arg_SECONDS})
  # Criterion reports a test as passed even if its child process printed a leak
  # report, so CTest searches the output for sanitizer reports.
  set_tests_properties(${Name} PROPERTIES
    FAIL_REGULAR_EXPRESSION "LeakSanitizer;AddressSanitizer;runtime error:"
    TIMEOUT 300)
endfunction()
