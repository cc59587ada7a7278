# Stand-ins for engines, plain services and the platform; used only by tests,
# demo and benchmarks.
file(GLOB STANDIN_SOURCES CONFIGURE_DEPENDS standins/*.cpp)
list(FILTER STANDIN_SOURCES EXCLUDE REGEX "/main\\.cpp$")
add_library(galenapulley_standins STATIC ${STANDIN_SOURCES})
target_include_directories(galenapulley_standins
  PUBLIC ${CMAKE_CURRENT_SOURCE_DIR})
target_link_libraries(galenapulley_standins PUBLIC galenapulley_node
  PRIVATE warnings)
add_executable(galenapulley_standin standins/main.cpp)
target_link_libraries(galenapulley_standin PRIVATE galenapulley_standins
  warnings)
foreach(name engine_simulation_test wait_forecast_test)
  if(TARGET ${name})
    target_link_libraries(${name} PRIVATE galenapulley_standins)
  endif()
endforeach()
