balsam_program(balsamhook SOURCES balsamhook.cpp DEPENDS node)
balsam_test(balsamhook SOURCES balsamhook_test.cpp clients_test.cpp DEPENDS http standin_site)
add_dependencies(balsamhook_test balsamhook)
target_compile_definitions(balsamhook_test PRIVATE BALSAMHOOK_PROGRAM="$<TARGET_FILE:balsamhook>")
# Crowds of clients measure the memory of the process under test, so each runs alone.
set(client_crowds slow_readers_of_whole_answers slow_readers_of_whole_answers_with_close slow_readers_of_merged_answers
    slow_readers_of_many_merged_answers unfinished_bodies_from_callers unfinished_bodies_to_directory unfinished_bodies_to_readiness unfinished_bodies_to_control slow_chunks endless_chunk_extensions_and_trailers unfinished_heads
    unfinished_lines_of_heads whole_bodies_to_queries bodies_of_clients_that_leave pipelining_without_reading pipelining_refused_requests_without_reading
    pipelining_to_directory_readiness_and_control_without_reading slow_readers_of_the_catalogue idle_connections_on_all_ports slow_heads_on_all_ports
    one_large_answer_alone_is_served)
foreach(crowd ${client_crowds})
    add_test(NAME clients_${crowd} COMMAND balsamhook_test --no-skip --test-case=${crowd})
    set_tests_properties(clients_${crowd} PROPERTIES TIMEOUT 60 RUN_SERIAL TRUE FAIL_REGULAR_EXPRESSION "test cases: +0 ")
endforeach()
