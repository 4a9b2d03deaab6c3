balsam_program(balsam-front SOURCES balsam_front.cpp DEPENDS query program)
