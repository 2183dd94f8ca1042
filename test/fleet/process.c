#include "fleet/process.h"

#include <errno.h>
#include <fcntl.h>
#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include "os/clock.h"

enum { POLL_MS = 5 };

static void sleep_ms(int64_t ms)
{
	struct timespec wait = { ms / 1000, (ms % 1000) * 1000000 };

	nanosleep(&wait, NULL);
}

const char *process_build_dir(void)
{
	const char *dir = getenv("GERANIUMPLANK_BUILD");

	return dir ? dir : "build";
}

static void redirect(int fd, const char *path)
{
	int file = open(path, O_RDWR | O_CREAT | O_APPEND | O_CLOEXEC, 0600);

	if (file >= 0)
		dup2(file, fd);
}

/* Executes the program in the child process; does not return. */
static void exec_program(const char *program, const char *const args[])
{
	char path[512];
	char *argv[PROCESS_ARGS_MAX + 2] = { path };
	int i;

	/* Children must not outlive a test that is killed or crashes. */
	prctl(PR_SET_PDEATHSIG, SIGKILL);
	if (*program == '/')
		snprintf(path, sizeof(path), "%s", program);
	else
		snprintf(path, sizeof(path), "%s/%s", process_build_dir(),
			 program);
	for (i = 0; args[i] && i < PROCESS_ARGS_MAX; i++)
		argv[i + 1] = (char *)(uintptr_t)args[i];
	execv(path, argv);
	_exit(127);
}

bool process_start(struct process *process, const char *program,
		   const char *const args[], const char *log_path)
{
	memset(process, 0, sizeof(*process));
	snprintf(process->log_path, sizeof(process->log_path), "%s",
		 log_path ? log_path : "/dev/null");
	process->pid = fork();
	if (process->pid == 0) {
		redirect(STDIN_FILENO, "/dev/null");
		redirect(STDOUT_FILENO, process->log_path);
		redirect(STDERR_FILENO, process->log_path);
		exec_program(program, args);
	}
	return process->pid > 0;
}

static bool read_ready(struct process *process)
{
	FILE *file = fopen(process->log_path, "re");
	bool found = false;

	if (!file)
		return false;
	/* The log may hold lines of earlier processes: compares the pid. */
	while (fgets(process->ready, sizeof(process->ready), file))
		if (strstr(process->ready, "\"event\":\"ready\"") &&
		    strchr(process->ready, '\n')) {
			char mark[32];

			snprintf(mark, sizeof(mark), "\"pid\":%d",
				 (int)process->pid);
			if (!strstr(process->ready, mark))
				continue;
			found = true;
			break;
		}
	fclose(file);
	return found;
}

bool process_wait_ready(struct process *process, int64_t timeout_ms)
{
	int64_t until_us = clock_monotonic_us() + timeout_ms * US_PER_MS;

	while (clock_monotonic_us() < until_us) {
		if (read_ready(process))
			return true;
		if (process_wait(process, 0))
			return false;
		sleep_ms(POLL_MS);
	}
	return false;
}

bool process_ready_text(const struct process *process, const char *name,
			char *text, size_t size)
{
	json_t *line = json_loads(process->ready, 0, NULL);
	const char *value = json_string_value(json_object_get(line, name));

	if (value)
		snprintf(text, size, "%s", value);
	json_decref(line);
	return value != NULL;
}

void process_signal(const struct process *process, int signal)
{
	if (process->pid > 0)
		kill(process->pid, signal);
}

bool process_wait(struct process *process, int64_t timeout_ms)
{
	int64_t until_us = clock_monotonic_us() + timeout_ms * US_PER_MS;

	if (process->pid <= 0)
		return true;
	for (;;) {
		if (waitpid(process->pid, &process->exit_status, WNOHANG) ==
		    process->pid) {
			process->pid = 0;
			return true;
		}
		if (clock_monotonic_us() >= until_us)
			return false;
		sleep_ms(POLL_MS);
	}
}

void process_kill(struct process *process)
{
	if (process->pid <= 0)
		return;
	kill(process->pid, SIGKILL);
	waitpid(process->pid, &process->exit_status, 0);
	process->pid = 0;
}

static void read_all(int fd, char *output, size_t size)
{
	size_t used = 0;
	char rest[512];

	for (;;) {
		bool fits = used + 1 < size;
		ssize_t got = fits ? read(fd, output + used, size - used - 1)
				   : read(fd, rest, sizeof(rest));

		if (got < 0 && errno == EINTR)
			continue;
		if (got <= 0)
			break;
		if (fits)
			used += (size_t)got;
	}
	if (size)
		output[used] = '\0';
}

int process_run(const char *program, const char *const args[], char *output,
		size_t size)
{
	int status = 0;
	int pipes[2];
	pid_t pid;

	if (pipe2(pipes, O_CLOEXEC) < 0)
		return -1;
	pid = fork();
	if (pid == 0) {
		dup2(pipes[1], STDOUT_FILENO);
		dup2(pipes[1], STDERR_FILENO);
		exec_program(program, args);
	}
	close(pipes[1]);
	read_all(pipes[0], output, size);
	close(pipes[0]);
	if (pid < 0 || waitpid(pid, &status, 0) != pid)
		return -1;
	return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}
