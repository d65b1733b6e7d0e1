# bluebell_package(NAME SOURCES ... LINK ... PRIVATE_LINK ...)
#   Defines library bluebell_NAME (alias bluebell::NAME) from src/libNAME with its public
#   headers in src/include/bluebell/NAME, and registers it for installation.
function(bluebell_package name)
    cmake_parse_arguments(ARG "" "" "SOURCES;LINK;PRIVATE_LINK" ${ARGN})
    add_library(bluebell_${name} STATIC ${ARG_SOURCES})
    add_library(bluebell::${name} ALIAS bluebell_${name})
    set_target_properties(bluebell_${name} PROPERTIES EXPORT_NAME ${name})
    target_include_directories(bluebell_${name}
        PUBLIC $<BUILD_INTERFACE:${PROJECT_SOURCE_DIR}/src/include> $<INSTALL_INTERFACE:include>)
    target_link_libraries(bluebell_${name} PUBLIC ${ARG_LINK}
        PRIVATE $<BUILD_INTERFACE:bluebell_flags> ${ARG_PRIVATE_LINK})
    install(TARGETS bluebell_${name} EXPORT bluebell_targets ARCHIVE DESTINATION lib)
    install(DIRECTORY ${PROJECT_SOURCE_DIR}/src/include/bluebell/${name}
        DESTINATION include/bluebell)
endfunction()

# bluebell_test(NAME SOURCES ... LINK ...)
#   Defines a Boost.Test program from the given *_test.cpp files; CTest runs it with a fixed RapidCheck
#   seed.
function(bluebell_test name)
    if(NOT BLUEBELL_TESTS)
        return()
    endif()
    cmake_parse_arguments(ARG "" "" "SOURCES;LINK" ${ARGN})
    set_source_files_properties(${PROJECT_SOURCE_DIR}/src/cmake/test_main.cpp
        PROPERTIES SKIP_PRECOMPILE_HEADERS ON)
    add_executable(${name} ${ARG_SOURCES} ${PROJECT_SOURCE_DIR}/src/cmake/test_main.cpp)
    target_compile_definitions(${name} PRIVATE BOOST_TEST_DYN_LINK)
    target_link_libraries(${name} PRIVATE ${ARG_LINK} bluebell_flags
        Boost::unit_test_framework rapidcheck)
    target_precompile_headers(${name} PRIVATE <boost/test/unit_test.hpp> <rapidcheck.h>)
    add_test(NAME ${name} COMMAND ${name} --color_output=no)
    set_tests_properties(${name} PROPERTIES TIMEOUT 300
        ENVIRONMENT "RC_PARAMS=seed=20261204 max_success=200")
endfunction()

# Installs the CMake targets file of all packages.
function(bluebell_install_packages)
    install(EXPORT bluebell_targets NAMESPACE bluebell:: DESTINATION lib/cmake/bluebellproxy)
endfunction()
