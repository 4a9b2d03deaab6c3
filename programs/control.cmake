balsam_program(balsam-control SOURCES balsam_control.cpp DEPENDS control)
