add_subdirectory(${CMAKE_SOURCE_DIR}/control ${CMAKE_BINARY_DIR}/control)
balsam_program(balsam-control SOURCES balsam_control.cpp DEPENDS control)
