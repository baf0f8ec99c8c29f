export {type Closable, CloseError, LifecycleManager} from './lifecycle.js';
export {
  createLogger,
  type LogFields,
  type Logger,
  type LogLevel,
} from './logger.js';
export {MessageTask} from './message_task.js';
export {
  createStatsdMetrics,
  Metrics,
  type MetricTags,
  NullMetrics,
  type StatsdOptions,
} from './metrics.js';
