# Digest of the sources of the programs, by which a running program tells from
# which sources it was built: a build folder can be older than the work tree.
# Usage: cmake -P cmake/SourceDigest.cmake            prints it
#        cmake -DHEADER=FILE -P cmake/SourceDigest.cmake   writes a C++ header
get_filename_component(Root ${CMAKE_CURRENT_LIST_DIR}/.. ABSOLUTE)
file(GLOB_RECURSE Files RELATIVE ${Root}
  ${Root}/apps/*.cpp ${Root}/apps/*.hpp ${Root}/packages/*.cpp
  ${Root}/packages/*.hpp ${Root}/packages/*.h ${Root}/platform/*.cpp
  ${Root}/platform/*.hpp)
list(SORT Files)
foreach(File ${Files})
  file(SHA256 ${Root}/${File} Digest)
  string(APPEND Digests "${Digest} ${File}\n")
endforeach()
string(SHA256 Digest "${Digests}")
string(SUBSTRING ${Digest} 0 12 Digest)

if(NOT DEFINED HEADER)
  message(NOTICE ${Digest})
  return()
endif()
set(Text "#define JUJUBECART_SOURCE_DIGEST \"${Digest}\"\n")
set(Before "")
if(EXISTS ${HEADER})
  file(READ ${HEADER} Before)
endif()
# An unchanged header keeps its time, so that nothing is compiled again.
if(NOT Before STREQUAL Text)
  file(WRITE ${HEADER} "${Text}")
endif()
