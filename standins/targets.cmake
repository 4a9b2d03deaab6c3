balsam_library(standins SOURCES credit_ledger.cpp data_set.cpp site.cpp target_model.cpp target_process.cpp target_server.cpp DEPENDS http)
target_link_libraries(balsam_standins PUBLIC nlohmann_json::nlohmann_json)
balsam_test(standins SOURCES standins_test.cpp DEPENDS standins)
balsam_program(standin-targets SOURCES standin_targets.cpp DEPENDS standins)
