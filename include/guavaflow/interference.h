/* Which tasks slow each other down when they share a worker. Tasks are
 * classified by what they run; for each ordered pair of classes, a victim and
 * a disturber, the module estimates by which factor one disturber lengthens
 * the run times, or the tail latencies, of the victim's tasks.
 *
 * The log of a measured value is taken as the sum of a level of the victim's
 * class at that time, an effect of the worker, and an effect of each class
 * beside it in proportion to its presence. Since the level is estimated from
 * all tasks of the class at the same time, and the effect of a worker from all
 * tasks on it, neither load that rises everywhere nor a slow worker counts as
 * interference.
 *
 * The state is bounded: at most GF_INTERFERENCE_CLASSES classes,
 * GF_INTERFERENCE_PAIRS pairs and GF_INTERFERENCE_WORKERS workers, and
 * GF_INTERFERENCE_SAMPLES samples between two updates, in all 3 MB. What
 * exceeds these numbers is not learnt. Not safe for use by several threads. */
#ifndef GUAVAFLOW_INTERFERENCE_H
#define GUAVAFLOW_INTERFERENCE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <time.h>

#include "guavaflow/name.h"

#define GF_INTERFERENCE_CLASSES 512
#define GF_INTERFERENCE_PAIRS 16384
#define GF_INTERFERENCE_WORKERS 512
#define GF_INTERFERENCE_SAMPLES 4096
/* Classes beside a victim that a sample can name. */
#define GF_INTERFERENCE_BESIDE 8

typedef struct GfInterference GfInterference;

/* Identifies a class of tasks; 0 is none. A number whose class was forgotten
 * is not used again. */
typedef uint32_t GfTaskClass;

/* The presence of a class beside a victim: its number of tasks, each weighted
 * with its share of the victim's time and with its pace, from 0 to 1. */
typedef struct {
    GfTaskClass class;
    double presence;
} GfBeside;

/* A measurement of a victim. log_value is the natural logarithm of a duration
 * in any unit that is the same for all samples of the class, relative to what
 * is known of its size, if anything is. */
typedef struct {
    GfTaskClass victim;
    uint32_t worker; /* serial of its worker, not 0 */
    double log_value;
    GfBeside beside[GF_INTERFERENCE_BESIDE];
    size_t beside_count;
} GfInterferenceSample;

/* What is known of a pair. effect is the mean of the logarithm of the factor
 * by which one disturber lengthens the victim, doubt its standard deviation.
 * established: the disturber lengthens the victim beyond doubt. */
typedef struct {
    GfName victim;
    GfName disturber;
    double effect;
    double doubt;
    bool established;
} GfInterferencePair;

/* Is called for each pair that has become established, or is no longer so. */
typedef void (*GfInterferenceChanged)(void *ctx,
                                      const GfInterferencePair *pair);

GfInterference *GfInterference_Create(void);
void GfInterference_Destroy(GfInterference *interference);

GfTaskClass GfInterference_Class(GfInterference *interference,
                                 const GfName *name, struct timespec now);
void GfInterference_Observe(GfInterference *interference,
                            const GfInterferenceSample *sample);
void GfInterference_Update(GfInterference *interference, struct timespec now,
                           GfInterferenceChanged changed, void *ctx);

bool GfInterference_Estimate(const GfInterference *interference,
                             GfTaskClass victim, GfTaskClass disturber,
                             struct timespec now, GfInterferencePair *pair);
double GfInterference_Lengthening(const GfInterference *interference,
                                  GfTaskClass victim, GfTaskClass disturber);
size_t GfInterference_EstablishedCount(const GfInterference *interference);
size_t GfInterference_Heaviest(const GfInterference *interference,
                               struct timespec now, GfInterferencePair *pairs,
                               size_t max);

#endif
