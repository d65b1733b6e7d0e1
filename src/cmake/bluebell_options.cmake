# Language level, warnings, sanitizers and build switches shared by every package.
set(CMAKE_CXX_STANDARD 20)
set(CMAKE_CXX_STANDARD_REQUIRED ON)
set(CMAKE_CXX_EXTENSIONS OFF)
if(NOT CMAKE_BUILD_TYPE)
    set(CMAKE_BUILD_TYPE Release CACHE STRING "Build type" FORCE)
endif()

option(BLUEBELL_TESTS "Build unit tests, the testsuite and the bench" ON)
option(BLUEBELL_FUZZ "Build the libFuzzer targets (needs clang++)" OFF)
set(BLUEBELL_SANITIZE "" CACHE STRING "Value for -fsanitize, empty for none")

add_library(bluebell_flags INTERFACE)
target_compile_options(bluebell_flags INTERFACE -Wall -Wextra -Wpedantic -Wshadow
    $<$<CXX_COMPILER_ID:GNU>:-Wno-restrict -Wno-stringop-overflow>) # false positives on string concatenation in GCC 12
if(BLUEBELL_SANITIZE)
    add_compile_options(-fsanitize=${BLUEBELL_SANITIZE} -fno-omit-frame-pointer)
    add_link_options(-fsanitize=${BLUEBELL_SANITIZE})
endif()
if(BLUEBELL_FUZZ)
    add_compile_options(-fsanitize=fuzzer-no-link)
endif()
