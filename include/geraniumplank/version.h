#ifndef VERSION_H
#define VERSION_H

#ifdef __cplusplus
extern "C" {
#endif

/**
 * DOC: version
 *
 * Version of the library that a program uses at run time.
 */

/** geraniumplank_version() - return "major.minor.patch" as a static string. */
const char *geraniumplank_version(void);

#ifdef __cplusplus
}
#endif

#endif
