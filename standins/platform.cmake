balsam_library(standin_platform SOURCES memory_object_store.cpp platform_service.cpp DEPENDS base http)
balsam_program(standin-platform SOURCES standin_platform.cpp DEPENDS standin_platform)
