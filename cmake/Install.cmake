include(CMakePackageConfigHelpers)
include(GNUInstallDirs)

get_property(Packages GLOBAL PROPERTY JUJUBECART_PACKAGES)
foreach(Package ${Packages})
  install(TARGETS jujubecart_${Package} EXPORT jujubecart)
  get_target_property(PackageFolder jujubecart_${Package} SOURCE_DIR)
  install(DIRECTORY ${PackageFolder}/include/ TYPE INCLUDE)
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
