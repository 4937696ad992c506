/* Crowds of clients that don't behave, for tests of what they cost the process
 * that they are connected to. A crowd sends much and reads no answers; while
 * its connections are open, the test checks that the process runs, that its
 * memory and its open descriptors stay within those of the smallest machine in
 * use, and that ordinary requests are answered.
 *
 * The process is an entry of a cell, which is started together with the
 * stand-in of the platform, or any other whose id and ports are known. All
 * ports are fixed, so that these tests can't run side by side. */
#ifndef GUAVAFLOW_TESTS_FLOOD_H
#define GUAVAFLOW_TESTS_FLOOD_H

#include <stdatomic.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#define FLOOD_MAX_PORTS 4
#define FLOOD_MAX_CONNECTIONS 400
/* Set a FloodPlay's head or unit to a string literal. */
#define FLOOD_HEAD(text) .head = (text), .head_len = sizeof(text) - 1
#define FLOOD_UNIT(text) .unit = (text), .unit_len = sizeof(text) - 1

/* The ports of an entry of a cell, as distances from its first one. */
typedef enum { FLOOD_FRONT, FLOOD_READY, FLOOD_PEER, FLOOD_METRICS } FloodPort;

/* What a crowd sends: on each connection the head once, then the unit again
 * and again, up to a number of bytes in all. descriptors is the limit of the
 * process's open descriptors; 0: that of the smallest machine. max_log_bytes:
 * what an entry of a cell may print in all; 0: not checked. */
typedef struct {
    const char *name;
    const char *head;
    size_t head_len;
    const char *unit;
    size_t unit_len;
    size_t bytes;
    int connections;
    FloodPort port;
    int descriptors;
    long max_log_bytes;
} FloodPlay;

/* A process that is observed and what was seen of it; sizes in KB. */
typedef struct {
    pid_t pid;
    uint16_t ports[FLOOD_MAX_PORTS];
    int port_count;
    long peak_memory; /* resident */
    long peak_unread; /* in the kernel's receive queues of its ports */
    int peak_descriptors;
} FloodWatch;

/* A crowd's connections; a closed one is -1. */
typedef struct {
    int fds[FLOOD_MAX_CONNECTIONS];
    int count;
} FloodCrowd;

void FloodCrowd_Send(FloodCrowd *crowd, const FloodPlay *play, uint16_t port,
                     FloodWatch *watch);
void FloodCrowd_Close(FloodCrowd *crowd);
void FloodWatch_Sample(FloodWatch *watch);
void FloodWatch_Check(FloodWatch *watch, const FloodPlay *play);
void Flood_LimitSanitizer(void);

int Flood_Connect(uint16_t port);
bool Flood_SendAll(int fd, const char *data, size_t len);
size_t Flood_ReadAnswer(int fd, char *text, size_t size);
int Flood_Request(uint16_t port, const char *method, const char *path,
                  const char *headers, const char *body);

uint16_t FloodCell_Port(FloodPort port);
void FloodCell_Start(int descriptors);
void FloodCell_Stop(void);
int FloodCell_Submit(const char *body);
void FloodCell_Watch(FloodWatch *watch);
void FloodCell_CheckOrdinary(void);
void FloodCell_Play(const FloodPlay *play);
void FloodCell_PlayAll(const FloodPlay *plays, size_t count);

#endif
