#ifndef STANDIN_STANDIN_H
#define STANDIN_STANDIN_H

/** standin_option() - value after the argument "--NAME", or @fallback. */
const char *standin_option(int argc, char **argv, const char *name,
			   const char *fallback);

/** standin_platform() - run the stand-in of the platform's service. */
int standin_platform(int argc, char **argv);

/** standin_metadata() - run the stand-in of the metadata store. */
int standin_metadata(int argc, char **argv);

/** standin_upstream() - run one or more stand-ins of upstreams. */
int standin_upstream(int argc, char **argv);

/** standin_link() - run a TCP relay that simulates network faults. */
int standin_link(int argc, char **argv);

#endif
