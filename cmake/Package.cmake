# pimento_package(NAME <name> SOURCES <files> [DEPS <targets>] [TESTS <files>])
#
# Declares the library of one package and its one Boost.Test program,
# <name>Test. A package without sources is a header-only library.
function(pimento_package)
  cmake_parse_arguments(P "" "NAME" "SOURCES;DEPS;TESTS;TEST_DEPS" ${ARGN})
  if(P_SOURCES)
    add_library(${P_NAME} STATIC ${P_SOURCES})
    target_include_directories(${P_NAME} PUBLIC ${CMAKE_SOURCE_DIR}/packages)
    target_link_libraries(${P_NAME} PUBLIC ${P_DEPS})
  else()
    add_library(${P_NAME} INTERFACE)
    target_include_directories(${P_NAME}
                               INTERFACE ${CMAKE_SOURCE_DIR}/packages)
    target_link_libraries(${P_NAME} INTERFACE ${P_DEPS})
  endif()
  if(P_TESTS)
    add_executable(${P_NAME}Test ${P_TESTS})
    target_link_libraries(${P_NAME}Test PRIVATE
      ${P_NAME} ${P_TEST_DEPS} Boost::unit_test_framework)
    target_compile_definitions(${P_NAME}Test PRIVATE
      BOOST_TEST_DYN_LINK
      PIMENTO_SOURCE_DIR="${CMAKE_SOURCE_DIR}")
    add_test(NAME ${P_NAME} COMMAND ${P_NAME}Test)
    set_tests_properties(${P_NAME} PROPERTIES TIMEOUT 300)
  endif()
endfunction()
