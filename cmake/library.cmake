# libgeraniumplank, a library of the modules without I/O for use in other
# programs, with its headers, and the installation of the library, the headers
# and the binary.
include(GNUInstallDirs)

set(PARTS_INCLUDE ${CMAKE_BINARY_DIR}/parts/geraniumplank)

# Programs include the headers in include/geraniumplank. The exported functions
# are the functions declared by the headers that are included there or listed
# here. Further headers reached by #include are installed, but their functions
# are not exported.
file(GLOB PARTS_ENTRIES RELATIVE ${CMAKE_SOURCE_DIR} CONFIGURE_DEPENDS
	include/geraniumplank/*.h)
set(PARTS_HELPERS base/address.h base/error.h base/schema.h base/verdict.h
	membership/record.h profile/config.h profile/keeper.h profile/profile.h
	wire/codec.h)

# Sets RESULT to the headers of the project that HEADER includes, as paths below
# src.
function(parts_includes HEADER RESULT)
	file(STRINGS ${HEADER} LINES REGEX "^#include \"")
	set(FOUND)
	foreach(LINE ${LINES})
		string(REGEX REPLACE "^#include \"(.*)\".*" "\\1" NAME "${LINE}")
		list(APPEND FOUND ${NAME})
	endforeach()
	set(${RESULT} ${FOUND} PARENT_SCOPE)
endfunction()

# Sets RESULT to the names of the functions that HEADER declares.
function(parts_functions HEADER RESULT)
	file(STRINGS ${HEADER} LINES REGEX "^[a-z][^;#]*\\(")
	set(FOUND)
	foreach(LINE ${LINES})
		if(NOT LINE MATCHES "^(static|typedef|extern) ")
			string(REGEX MATCH "[a-z0-9_]+\\(" NAME "${LINE}")
			string(REPLACE "(" "" NAME "${NAME}")
			list(APPEND FOUND ${NAME})
		endif()
	endforeach()
	set(${RESULT} ${FOUND} PARENT_SCOPE)
endfunction()

# Copies a header into the folder of the project and adds a prefix to its
# includes and its guard, since a program that uses the library may have an
# error.h, a gate/gate.h or a guard BASE_ERROR_H as well.
function(parts_copy FROM TO)
	file(READ ${FROM} TEXT)
	string(REGEX REPLACE "#include \"" "#include \"geraniumplank/core/"
		TEXT "${TEXT}")
	string(REGEX REPLACE "#(ifndef|define) ([A-Z0-9_]+_H)\n"
		"#\\1 GERANIUMPLANK_\\2\n" TEXT "${TEXT}")
	file(CONFIGURE OUTPUT ${TO} CONTENT "${TEXT}" @ONLY
		NEWLINE_STYLE UNIX)
	set_property(DIRECTORY APPEND PROPERTY CMAKE_CONFIGURE_DEPENDS ${FROM})
endfunction()

set(PARTS_QUEUE)
set(PARTS_API)
foreach(ENTRY ${PARTS_ENTRIES})
	get_filename_component(NAME ${ENTRY} NAME)
	parts_copy(${CMAKE_SOURCE_DIR}/${ENTRY} ${PARTS_INCLUDE}/${NAME})
	parts_includes(${ENTRY} FOUND)
	list(APPEND PARTS_QUEUE ${FOUND})
	list(APPEND PARTS_API ${FOUND})
endforeach()
list(APPEND PARTS_API ${PARTS_HELPERS})
list(REMOVE_DUPLICATES PARTS_API)

set(PARTS_SEEN)
while(PARTS_QUEUE)
	list(POP_FRONT PARTS_QUEUE HEADER)
	if(NOT HEADER IN_LIST PARTS_SEEN)
		list(APPEND PARTS_SEEN ${HEADER})
		parts_copy(${CMAKE_SOURCE_DIR}/src/${HEADER}
			${PARTS_INCLUDE}/core/${HEADER})
		parts_includes(src/${HEADER} FOUND)
		list(APPEND PARTS_QUEUE ${FOUND})
	endif()
endwhile()

set(PARTS_SYMBOLS geraniumplank_version)
foreach(HEADER ${PARTS_API})
	parts_functions(${CMAKE_SOURCE_DIR}/src/${HEADER} FOUND)
	list(APPEND PARTS_SYMBOLS ${FOUND})
endforeach()
list(REMOVE_DUPLICATES PARTS_SYMBOLS)
list(JOIN PARTS_SYMBOLS " " PARTS_ROOTS)
list(JOIN PARTS_SYMBOLS ";\n\t" PARTS_EXPORTS)

set(PARTS_GENERATED ${CMAKE_BINARY_DIR}/parts)
file(CONFIGURE OUTPUT ${PARTS_GENERATED}/roots.ld
	CONTENT "EXTERN(@PARTS_ROOTS@)\n" @ONLY)
file(CONFIGURE OUTPUT ${PARTS_GENERATED}/exports.map CONTENT
	"GERANIUMPLANK_0 {\nglobal:\n\t@PARTS_EXPORTS@;\nlocal:\n\t*;\n};\n"
	@ONLY)
file(CONFIGURE OUTPUT ${PARTS_GENERATED}/version.c CONTENT
"#include \"geraniumplank/version.h\"

const char *geraniumplank_version(void)
{
	return \"@PROJECT_VERSION@\";
}
" @ONLY)

# Links only those objects of the archive that the exported functions need: no
# sockets, event loop or HTTP. --no-undefined detects missing objects.
set_target_properties(core PROPERTIES POSITION_INDEPENDENT_CODE ON)
add_library(parts SHARED ${PARTS_GENERATED}/version.c)
set_target_properties(parts PROPERTIES OUTPUT_NAME geraniumplank
	VERSION ${PROJECT_VERSION} SOVERSION ${PROJECT_VERSION_MAJOR}
	LINKER_LANGUAGE CXX
	LINK_DEPENDS "${PARTS_GENERATED}/roots.ld;${PARTS_GENERATED}/exports.map")
target_link_options(parts PRIVATE -static-libstdc++ -static-libgcc
	-Wl,--as-needed
	-Wl,--version-script=${PARTS_GENERATED}/exports.map)
target_link_libraries(parts PRIVATE ${PARTS_GENERATED}/roots.ld core)
if(NOT SANITIZE)
	target_link_options(parts PRIVATE -Wl,--no-undefined)
endif()

file(CONFIGURE OUTPUT ${PARTS_GENERATED}/geraniumplank.pc CONTENT
"prefix=@CMAKE_INSTALL_PREFIX@
libdir=\${prefix}/@CMAKE_INSTALL_LIBDIR@
includedir=\${prefix}/@CMAKE_INSTALL_INCLUDEDIR@

Name: geraniumplank
Description: coordination parts: verdicts, retries, admission, balancing, leases, membership, version spread
Version: @PROJECT_VERSION@
Requires: jansson msgpack
Cflags: -I\${includedir}
Libs: -L\${libdir} -lgeraniumplank
" @ONLY)

install(TARGETS geraniumplank RUNTIME DESTINATION ${CMAKE_INSTALL_BINDIR})
install(TARGETS parts LIBRARY DESTINATION ${CMAKE_INSTALL_LIBDIR})
install(DIRECTORY ${PARTS_INCLUDE}
	DESTINATION ${CMAKE_INSTALL_INCLUDEDIR})
install(FILES ${PARTS_GENERATED}/geraniumplank.pc
	DESTINATION ${CMAKE_INSTALL_LIBDIR}/pkgconfig)
