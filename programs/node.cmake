balsam_program(balsamhook SOURCES balsamhook.cpp DEPENDS node)
balsam_test(balsamhook SOURCES balsamhook_test.cpp DEPENDS base)
add_dependencies(balsamhook_test balsamhook)
target_compile_definitions(balsamhook_test PRIVATE BALSAMHOOK_PROGRAM="$<TARGET_FILE:balsamhook>")
