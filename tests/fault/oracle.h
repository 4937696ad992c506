/* What oracle.c needs of a cluster besides cluster.h, to check invariants. */
#ifndef GUAVAFLOW_TESTS_ORACLE_H
#define GUAVAFLOW_TESTS_ORACLE_H

#include "cluster.h"

const ClusterConfig *Oracle_Config(const Cluster *cluster);

#endif
