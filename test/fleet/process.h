#ifndef FLEET_PROCESS_H
#define FLEET_PROCESS_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

/**
 * DOC: process
 *
 * Starts, signals and ends child processes of a functional test or a bench.
 * A child logs a line with "event":"ready" once it is ready. The line is
 * stored, as it holds the addresses with the ports that the kernel assigned.
 */

enum { PROCESS_READY_SIZE = 2048, PROCESS_ARGS_MAX = 24 };

/**
 * struct process - a child process
 * @pid: 0 if no process runs
 * @exit_status: status from waitpid(), valid after the process ended
 * @ready: the log line with "event":"ready"
 * @log_path: file that standard output and standard error are appended to
 */
struct process {
	pid_t pid;
	int exit_status;
	char ready[PROCESS_READY_SIZE];
	char log_path[256];
};

/** process_build_dir() - value of GERANIUMPLANK_BUILD, or "build". */
const char *process_build_dir(void);

/**
 * process_start() - start a program of the build directory
 * @program: name of the program, relative to the build directory, or full path
 * @args: arguments without the program's name, ended by NULL
 * @log_path: file that standard output and standard error are appended to;
 *	NULL for /dev/null
 *
 * Return: false if no process could be created.
 */
bool process_start(struct process *process, const char *program,
		   const char *const args[], const char *log_path);

/**
 * process_wait_ready() - wait until the child has logged that it is ready
 *
 * Return: false if the child ended or the time is over.
 */
bool process_wait_ready(struct process *process, int64_t timeout_ms);

/**
 * process_ready_text() - copy a string member of the line @ready
 *
 * Return: false if there is no such member; @text is then unchanged.
 */
bool process_ready_text(const struct process *process, const char *name,
			char *text, size_t size);

/** process_signal() - send a signal if the child has not been reaped. */
void process_signal(const struct process *process, int signal);

/**
 * process_wait() - wait until the child ends
 *
 * Return: false if the child still runs after @timeout_ms.
 */
bool process_wait(struct process *process, int64_t timeout_ms);

/** process_kill() - send SIGKILL to the child and reap it. */
void process_kill(struct process *process);

/**
 * process_run() - run a program of the build directory until it exits
 * @program: as in process_start()
 * @args: as in process_start()
 * @output: receives standard output and standard error, truncated to @size
 *
 * Return: exit status, negative if the program was not run or a signal ended
 * it.
 */
int process_run(const char *program, const char *const args[], char *output,
		size_t size);

#endif
