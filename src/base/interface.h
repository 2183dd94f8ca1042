#ifndef BASE_INTERFACE_H
#define BASE_INTERFACE_H

/**
 * DOC: interface
 *
 * The two external interfaces of a node. They differ in the header names, paths
 * and bodies that a node uses with callers, the upstream of its instance and
 * the key-value service. The internal types are the same for both.
 */

/** enum interface_form - external interface that a node uses. */
enum interface_form {
	INTERFACE_OWN,	    /* of this project, see docs/CALLERS.md */
	INTERFACE_PLATFORM, /* of the target platform, see platform/ */
};

#endif
