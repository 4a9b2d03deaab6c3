#pragma once

/// Public header of the control library: the tasks of balsam-control.

#include "control/configuration_state.h"
#include "control/configuration_task.h"
#include "control/control_core.h"
#include "control/controller.h"
#include "control/local_programs.h"
#include "control/membership_task.h"
#include "control/operator_api.h"
