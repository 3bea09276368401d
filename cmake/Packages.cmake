# greengage_module(NAME [DEPENDS targets...])
# Declares a package: a static library of all .cpp files below the current folder except tests/ and main.cpp, and a
# Boost.Test program of all .cpp files below tests/.
function(greengage_module name)
    cmake_parse_arguments(MODULE "" "" "DEPENDS" ${ARGN})
    file(GLOB_RECURSE sources CONFIGURE_DEPENDS *.cpp)
    list(FILTER sources EXCLUDE REGEX "/tests/|/main\\.cpp$")
    set(library greengage_${name})
    if(sources)
        add_library(${library} STATIC ${sources})
        target_include_directories(${library} PUBLIC ${PROJECT_SOURCE_DIR}/modules)
        target_link_libraries(${library} PUBLIC ${MODULE_DEPENDS})
    else()
        add_library(${library} INTERFACE)
        target_include_directories(${library} INTERFACE ${PROJECT_SOURCE_DIR}/modules)
        target_link_libraries(${library} INTERFACE ${MODULE_DEPENDS})
    endif()
    file(GLOB_RECURSE tests CONFIGURE_DEPENDS tests/*.cpp)
    if(tests)
        greengage_test(${name}_tests SOURCES ${tests} DEPENDS ${library})
    endif()
endfunction()

# greengage_test(NAME SOURCES files... [DEPENDS targets...])
# Declares a Boost.Test program that scripts/test runs. Its tests find golden files below SOURCE_ROOT.
function(greengage_test name)
    if(NOT GREENGAGE_TESTS)
        return()
    endif()
    cmake_parse_arguments(TEST "" "" "SOURCES;DEPENDS" ${ARGN})
    add_executable(${name} ${TEST_SOURCES})
    target_compile_definitions(${name} PRIVATE
        BOOST_TEST_DYN_LINK
        SOURCE_ROOT="${PROJECT_SOURCE_DIR}" BINARY_ROOT="${CMAKE_BINARY_DIR}")
    # Boost.Test generates main in the one file that defines BOOST_TEST_MODULE. Files that are not named *Tests.cpp are
    # helpers without tests and do not include Boost.Test.
    set(suites ${TEST_SOURCES})
    list(FILTER suites INCLUDE REGEX "Tests\\.cpp$")
    list(GET suites 0 first)
    set_source_files_properties(${first} PROPERTIES COMPILE_DEFINITIONS BOOST_TEST_MODULE=${name})
    target_include_directories(${name} PRIVATE ${PROJECT_SOURCE_DIR})
    target_link_libraries(${name} PRIVATE ${TEST_DEPENDS} Boost::unit_test_framework)
    set_property(GLOBAL APPEND PROPERTY GREENGAGE_TESTS ${name})
endfunction()
