# Included by CMake after project(): adds the programs of the review once all
# targets of the project are known.
cmake_language(DEFER DIRECTORY ${CMAKE_SOURCE_DIR} CALL include
    ${CMAKE_SOURCE_DIR}/review/standins-3/cases.cmake)
