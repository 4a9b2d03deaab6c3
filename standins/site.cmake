balsam_library(standin_site SOURCES metadata_service.cpp standin_searcher.cpp DEPENDS base http)
balsam_program(standin-site SOURCES standin_site.cpp DEPENDS standin_site)
