export {type Closable, CloseError, LifecycleManager} from './lifecycle.js';
export {limitLogger, type LogLimit} from './limited_logger.js';
export {
  createLogger,
  type LogFields,
  type Logger,
  type LogLevel,
  type LogOutput,
} from './logger.js';
export {LoopMonitor, type LoopMonitorOptions} from './loop_monitor.js';
export {MessageTask} from './message_task.js';
export {
  createStatsdMetrics,
  Metrics,
  type MetricTags,
  NullMetrics,
  type StatsdOptions,
} from './metrics.js';
export {
  createPrometheusMetrics,
  type PrometheusOptions,
} from './prometheus_metrics.js';
