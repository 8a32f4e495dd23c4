include(CMakePackageConfigHelpers)
include(GNUInstallDirs)

get_property(Packages GLOBAL PROPERTY JUJUBECART_PACKAGES)
foreach(Package ${Packages})
  install(TARGETS jujubecart_${Package} EXPORT jujubecart)
  install(DIRECTORY ${CMAKE_SOURCE_DIR}/packages/${Package}/include/ TYPE INCLUDE)
endforeach()
install(TARGETS jujubecartd jujubectl)
install(EXPORT jujubecart NAMESPACE jujubecart::
  FILE jujubecartTargets.cmake
  DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/jujubecart)
write_basic_package_version_file(
  ${CMAKE_BINARY_DIR}/jujubecartConfigVersion.cmake
  COMPATIBILITY SameMinorVersion)
install(FILES cmake/jujubecartConfig.cmake
  ${CMAKE_BINARY_DIR}/jujubecartConfigVersion.cmake
  DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/jujubecart)
