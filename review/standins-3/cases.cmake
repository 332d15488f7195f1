# Programs of the review; included by with_cases.cmake.
add_library(review3_standins STATIC
    ${CMAKE_CURRENT_LIST_DIR}/deployment.cpp
    ${CMAKE_CURRENT_LIST_DIR}/desk.cpp
    ${CMAKE_CURRENT_LIST_DIR}/worker.cpp
    ${CMAKE_CURRENT_LIST_DIR}/node_runner.cpp
    ${PROJECT_SOURCE_DIR}/tests/soak/fault_relay.cpp)
target_include_directories(review3_standins PUBLIC
    ${CMAKE_CURRENT_LIST_DIR} ${PROJECT_SOURCE_DIR}/tests/soak)
target_link_libraries(review3_standins PUBLIC users_standins project_options)

file(GLOB review3_cases CONFIGURE_DEPENDS ${CMAKE_CURRENT_LIST_DIR}/*_case.cpp)
foreach(source ${review3_cases})
    get_filename_component(name ${source} NAME_WE)
    add_executable(review3_${name} ${source})
    target_link_libraries(review3_${name} PRIVATE review3_standins)
endforeach()
add_custom_target(review3_all)
foreach(source ${review3_cases})
    get_filename_component(name ${source} NAME_WE)
    add_dependencies(review3_all review3_${name})
endforeach()
