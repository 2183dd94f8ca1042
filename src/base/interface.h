#ifndef BASE_INTERFACE_H
#define BASE_INTERFACE_H

/**
 * DOC: interface
 *
 * The two outer interfaces that a node can speak: header names, paths and
 * bodies towards callers, the upstream beside and the key-value service.
 * Inside there is one set of types for both.
 */

/** enum interface_form - whose names and paths are spoken. */
enum interface_form {
	INTERFACE_OWN,	    /* this project's, docs/CALLERS.md */
	INTERFACE_PLATFORM, /* that of the target platform, platform/ */
};

#endif
