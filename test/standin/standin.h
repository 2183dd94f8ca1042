#ifndef STANDIN_STANDIN_H
#define STANDIN_STANDIN_H

/** standin_option() - the value after "--NAME", or @fallback. */
const char *standin_option(int argc, char **argv, const char *name,
			   const char *fallback);

/** standin_platform() - the platform's key-value service. */
int standin_platform(int argc, char **argv);

/** standin_metadata() - the target platform's metadata store. */
int standin_metadata(int argc, char **argv);

/** standin_upstream() - one or more upstreams. */
int standin_upstream(int argc, char **argv);

/** standin_link() - a relay that behaves like a bad network. */
int standin_link(int argc, char **argv);

#endif
