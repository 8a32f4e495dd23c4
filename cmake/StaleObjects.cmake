# Removes the objects of a build folder that do not belong to the sources.
#
# Ninja compares times only. A source that was replaced by one with an older
# time, as in a work tree that was copied or unpacked, or one that was edited
# while it was compiled, is not compiled again; nor is anything in a folder that
# comes from another kind of machine. So the contents are compared here, at each
# configuration, before the build.
set(Record ${CMAKE_BINARY_DIR}/source_digests.txt)
file(GLOB_RECURSE Objects ${CMAKE_BINARY_DIR}/*.o)
file(GLOB_RECURSE Sources RELATIVE ${CMAKE_SOURCE_DIR}
  ${CMAKE_SOURCE_DIR}/*.cpp ${CMAKE_SOURCE_DIR}/*.hpp ${CMAKE_SOURCE_DIR}/*.h)
file(RELATIVE_PATH BuildFolder ${CMAKE_SOURCE_DIR} ${CMAKE_BINARY_DIR})
list(FILTER Sources EXCLUDE REGEX "^(build|target|out|${BuildFolder}/)")

set(Machine "${CMAKE_HOST_SYSTEM_PROCESSOR} ${CMAKE_CXX_COMPILER_VERSION}")
set(Before "")
if(EXISTS ${Record})
  file(STRINGS ${Record} Before)
endif()
set(NewestObject 0)
foreach(Object ${Objects})
  file(TIMESTAMP ${Object} Time "%s")
  if(Time GREATER NewestObject)
    set(NewestObject ${Time})
  endif()
endforeach()

set(Stale "")
if(Objects AND NOT Machine IN_LIST Before)
  set(Stale "the folder is of another machine, or has no record of its sources")
endif()
set(Now "${Machine}\n")
foreach(Source ${Sources})
  file(SHA256 ${CMAKE_SOURCE_DIR}/${Source} Digest)
  string(APPEND Now "${Digest} ${Source}\n")
  if(NOT Stale AND NOT "${Digest} ${Source}" IN_LIST Before)
    file(TIMESTAMP ${CMAKE_SOURCE_DIR}/${Source} Time "%s")
    if(Time LESS_EQUAL NewestObject)
      set(Stale "${Source} has changed and is older than the objects")
    endif()
  endif()
endforeach()
if(Objects AND Stale)
  message(NOTICE "objects removed: ${Stale}")
  file(REMOVE ${Objects})
endif()
file(WRITE ${Record} "${Now}")
