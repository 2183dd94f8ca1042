#ifndef FUNCTIONAL_PROFILE_H
#define FUNCTIONAL_PROFILE_H

/** DOC: profile - the profile of the functional tests. */

extern const char functional_profile[];

#endif
