balsam_program(balsam-dispatch SOURCES balsam_dispatch.cpp DEPENDS dispatch platform program)
