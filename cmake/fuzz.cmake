# Fuzz targets and their seed inputs. The functional tests replay the seed
# inputs with any compiler; -DFUZZ=ON with clang builds a fuzzer for each
# target.
option(FUZZ "Build clang's fuzzers" OFF)

set(FUZZ_SOURCES test/fuzz/targets.c test/fuzz/answer.c test/fuzz/mutate.c)
if(TARGET functional_tests)
	target_sources(functional_tests PRIVATE ${FUZZ_SOURCES}
		test/fuzz/replay_test.c)
endif()

if(FUZZ)
	foreach(NAME frame hub head settings profile path announce
			caller heartbeat document directory packed log key answer)
		string(TOUPPER ${NAME} UPPER)
		add_executable(fuzz_${NAME} test/fuzz/fuzzer.c ${FUZZ_SOURCES})
		target_include_directories(fuzz_${NAME} PRIVATE test)
		target_compile_definitions(fuzz_${NAME} PRIVATE
			FUZZ_TARGET=FUZZ_${UPPER})
		target_link_libraries(fuzz_${NAME} core -fsanitize=fuzzer)
		set_target_properties(fuzz_${NAME} PROPERTIES
			LINKER_LANGUAGE CXX)
	endforeach()
endif()
