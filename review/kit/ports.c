#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>

/* Prints N free ports: ports N. They are held until the end, so that they
 * differ from each other. */
int main(int argc, char **argv)
{
	int count = argc > 1 ? atoi(argv[1]) : 1;

	while (count-- > 0) {
		struct sockaddr_in name = { .sin_family = AF_INET };
		socklen_t size = sizeof(name);
		int fd = socket(AF_INET, SOCK_STREAM, 0);

		if (bind(fd, (struct sockaddr *)&name, size) ||
		    getsockname(fd, (struct sockaddr *)&name, &size))
			return 2;
		printf("%d\n", ntohs(name.sin_port));
	}
	return 0;
}
